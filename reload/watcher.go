// Package reload reloads a file when its content changes. It polls the file, and checks it at once on SIGHUP.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the time between checks of the file; without a signal, a change takes effect within seconds.
const pollInterval = 2 * time.Second

// Watcher watches a file for changes.
type Watcher struct {
	path        string
	lastContent []byte // Content that was passed to onChange last.
	onChange    func(b []byte) error
	onError     func(err error)
}

// New returns a watcher of the file at path p, which passes changed content to f and errors, including those of f, to g.
func New(p string, f func(b []byte) error, g func(err error)) *Watcher {
	b, err := os.ReadFile(p)
	if err != nil {
		g(err)
	}
	return &Watcher{path: p, lastContent: b, onChange: f, onError: g}
}

// Run watches the file until c ends.
func (f *Watcher) Run(c context.Context) {
	s := make(chan os.Signal, 1)
	signal.Notify(s, syscall.SIGHUP)
	defer signal.Stop(s)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-s:
		case <-t.C:
		}
		f.poll()
	}
}

// poll reads the file and calls onChange if the content changed.
func (f *Watcher) poll() {
	b, err := os.ReadFile(f.path)
	if err != nil {
		f.onError(err)
		return
	}
	if bytes.Equal(b, f.lastContent) {
		return
	}
	f.lastContent = b
	if err := f.onChange(b); err != nil {
		f.onError(err)
	}
}
