// Package reload reloads a file when its content changes. It polls the file, and checks it at once on SIGHUP.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// pollInterval is the time between checks of the file; without a signal, a change takes effect within seconds.
const pollInterval = 2 * time.Second

// Watcher watches a file for changes.
type Watcher struct {
	path        string
	lastContent []byte // Content that was read last, by New or poll.
	signals     chan os.Signal
}

// New returns a watcher of the file at path p, which it reads. From then on SIGHUP does not end the process.
func New(p string) (*Watcher, error) {
	s := make(chan os.Signal, 1)
	signal.Notify(s, syscall.SIGHUP)
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, p, err)
	}
	return &Watcher{path: p, lastContent: b, signals: s}, nil
}

// Content returns what New read, until Run is called.
func (w *Watcher) Content() []byte { return w.lastContent }

// Run passes changed content to f, and errors, including those of f, to g, until c ends. SIGHUP does not end the process
// afterwards either.
func (w *Watcher) Run(c context.Context, f func(b []byte) error, g func(err error)) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if err := w.poll(f); err != nil {
			g(err)
		}
		select {
		case <-c.Done():
			return
		case <-w.signals:
		case <-t.C:
		}
	}
}

// poll reads the file and calls f if the content changed.
func (w *Watcher) poll(f func(b []byte) error) error {
	b, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(b, w.lastContent) {
		return err
	}
	w.lastContent = b
	return f(b)
}
