// Package loader has the engine beside an agent load the models that are placed on its VM.
package loader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/match"
)

const (
	retryPause = time.Second
	slotsPause = 5 * time.Second // Time between two questions for the engine's slots.
)

// Loader follows the placements in the configuration.
type Loader struct {
	self     bulrushlug.Member
	source   bulrushlug.ConfigSource
	engine   bulrushlug.Engine
	recorder bulrushlug.Recorder
	wake     chan struct{}
	mu       sync.RWMutex      // Guards the fields below.
	loaded   map[string]string // Versions of the loaded models.
	fence    uint64            // Revision of the newest order; orders with an older one are not given.
}

// New returns the loader of the agent m.
func New(m bulrushlug.Member, f bulrushlug.ConfigSource, e bulrushlug.Engine, r bulrushlug.Recorder) *Loader {
	return &Loader{self: m, source: f, engine: e, recorder: r, wake: make(chan struct{}, 1), loaded: map[string]string{}}
}

// ConfigChanged tells the loader that the configuration has changed.
func (l *Loader) ConfigChanged(*bulrushlug.Config) {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Models returns the models that are loaded and placed here, sorted by name.
func (l *Loader) Models() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.loaded))
}

// Run gives orders until c ends.
func (l *Loader) Run(c context.Context) error {
	for {
		p := slotsPause
		if !l.round(c) {
			p = retryPause
		}
		t := time.NewTimer(p)
		select {
		case <-l.wake:
		case <-t.C:
		case <-c.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}

// round gives the orders that are missing, and reports whether all were carried out.
func (l *Loader) round(c context.Context) bool {
	f := l.source.Config()
	want := l.wanted(f)
	l.drop(want)
	ok := true
	for m, v := range want {
		if l.has(m, v) {
			continue
		}
		if err := l.order(c, m, v, f.Revision()); err != nil {
			ok = false
		}
	}
	return ok
}

func (l *Loader) wanted(f *bulrushlug.Config) map[string]string {
	n := match.VMLabels(f.VM(l.self.Name()), l.self.Zone(), l.self.Region())
	w := map[string]string{}
	for _, m := range f.Models() {
		if match.Labels(m.Selector(), n) {
			w[m.Name()] = m.Version()
		}
	}
	return w
}

func (l *Loader) drop(want map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.loaded, func(m, v string) bool { return want[m] != v })
}

func (l *Loader) has(m, v string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	x, ok := l.loaded[m]
	return ok && x == v
}

// order has the engine load version v of m; n is the revision by which it was decided.
func (l *Loader) order(c context.Context, m, v string, n uint64) error {
	l.mu.Lock()
	if n < l.fence {
		l.mu.Unlock()
		return bulrushlug.Errorf(bulrushlug.KindConflict, "revision %d is older than %d", n, l.fence)
	}
	l.fence = n
	l.mu.Unlock()
	if err := l.engine.Load(c, m, v, n); err != nil {
		l.recorder.Record(bulrushlug.NewEvent("loadFailed", bulrushlug.WithDetail(m+": "+err.Error())))
		return err
	}
	l.recorder.Record(bulrushlug.NewEvent("modelLoaded", bulrushlug.WithDetail(m+" "+v)))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded[m] = v
	return nil
}
