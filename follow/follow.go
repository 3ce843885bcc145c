// Package follow polls the key-value service for configuration changes.
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
	pollInterval = 500 * time.Millisecond // Time between two polls.
	pollJitter   = 50 * time.Millisecond
	callTimeout  = time.Second      // Timeout of one poll.
	loadTimeout  = 10 * time.Second // Timeout of a read of the snapshot and the changes after it.
	reloadAfter  = 30 * time.Minute // Age of the last read after which the history may have been compacted.
)

// Poller reads the change history of the configuration.
type Poller struct {
	log         *cfglog.Log
	storePoller bulrushlug.StorePoller
	lastRead    time.Time   // When the last successful read began; used only by Run.
	failing     atomic.Bool // The last read failed.
}

// New returns a poller that reads l while w.ShouldPollStore returns true.
func New(l *cfglog.Log, w bulrushlug.StorePoller) *Poller {
	return &Poller{log: l, storePoller: w}
}

// Failing reports whether the last read failed.
func (f *Poller) Failing() bool { return f.failing.Load() }

// Run polls until c ends.
func (f *Poller) Run(c context.Context) error {
	for {
		if f.lastRead.IsZero() || f.storePoller.ShouldPollStore() {
			f.failing.Store(f.poll(c) != nil)
		}
		if err := bulrushlug.Sleep(c, pollInterval+rand.N(pollJitter)); err != nil {
			return nil
		}
	}
}

// poll reads all new changes; at the start and after a long gap it loads the snapshot instead.
func (f *Poller) poll(c context.Context) error {
	t := time.Now()
	if f.lastRead.IsZero() || time.Since(f.lastRead) > reloadAfter {
		c, stop := context.WithTimeout(c, loadTimeout)
		defer stop()
		if err := f.log.Load(c); err != nil {
			return err
		}
		f.lastRead = t
		return nil
	}
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	for {
		more, err := f.log.ApplyNext(c)
		if err != nil {
			return err
		}
		f.lastRead = t
		if !more {
			return nil
		}
	}
}
