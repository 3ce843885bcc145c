// Package follow keeps a process's configuration up to date with the key-value service.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cfglog"
)

const (
	pollInterval = 500 * time.Millisecond // Time between two reads of the history.
	pollJitter   = 50 * time.Millisecond
	callTimeout  = time.Second
	loadTimeout  = 10 * time.Second
	reloadAfter  = 30 * time.Minute // Age of the last read after which the history may have been trimmed.
)

// Poller reads the history of the configuration.
type Poller struct {
	ledger  *cfglog.Log
	watcher bulrushlug.StorePoller
	read    time.Time   // When the last read succeeded; only Run uses it.
	failing atomic.Bool // The last read failed.
}

// New returns a follower of l.
func New(l *cfglog.Log, w bulrushlug.StorePoller) *Poller {
	return &Poller{ledger: l, watcher: w}
}

// Failing reports whether the last read failed.
func (f *Poller) Failing() bool { return f.failing.Load() }

// Run reads until c ends.
func (f *Poller) Run(c context.Context) error {
	for {
		if f.read.IsZero() || f.watcher.ShouldPollStore() {
			f.failing.Store(f.once(c) != nil)
		}
		if err := bulrushlug.Sleep(c, pollInterval+rand.N(pollJitter)); err != nil {
			return nil
		}
	}
}

// once reads all changes that are new; after a long time without reading it starts from the snapshot.
func (f *Poller) once(c context.Context) error {
	t := time.Now()
	if f.read.IsZero() || time.Since(f.read) > reloadAfter {
		c, stop := context.WithTimeout(c, loadTimeout)
		defer stop()
		if err := f.ledger.Load(c); err != nil {
			return err
		}
		f.read = t
		return nil
	}
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	for {
		more, err := f.ledger.ApplyNext(c)
		if err != nil {
			return err
		}
		f.read = t
		if !more {
			return nil
		}
	}
}
