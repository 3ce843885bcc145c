// Package reload reads a file again when it changes or when the process is told so by SIGHUP.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// lookTime is the time between looks at the file; operators wait seconds for a change without a signal.
const lookTime = 2 * time.Second

// Watcher is a file that may change.
type Watcher struct {
	path string
	last []byte // Content that was handed on last.
	read func(b []byte) error
	fail func(err error)
}

// New returns the file at path p, whose new content is handed to f; errors go to g.
func New(p string, f func(b []byte) error, g func(err error)) *Watcher {
	b, err := os.ReadFile(p)
	if err != nil {
		g(err)
	}
	return &Watcher{path: p, last: b, read: f, fail: g}
}

// Run looks at the file until c ends.
func (f *Watcher) Run(c context.Context) {
	s := make(chan os.Signal, 1)
	signal.Notify(s, syscall.SIGHUP)
	defer signal.Stop(s)
	t := time.NewTicker(lookTime)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-s:
		case <-t.C:
		}
		f.look()
	}
}

// look hands on the content if it changed.
func (f *Watcher) look() {
	b, err := os.ReadFile(f.path)
	if err != nil {
		f.fail(err)
		return
	}
	if bytes.Equal(b, f.last) {
		return
	}
	f.last = b
	if err := f.read(b); err != nil {
		f.fail(err)
	}
}
