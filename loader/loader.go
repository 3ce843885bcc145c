// Package loader makes the engine of an agent load the models that are placed on its VM.
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
	retryInterval     = time.Second     // Time until the next reconciliation if a load failed.
	reconcileInterval = 5 * time.Second // Time between two reconciliations without a configuration change.
)

// Loader reconciles the loaded models with the placement in the configuration.
type Loader struct {
	self     bulrushlug.Member
	source   bulrushlug.ConfigSource
	engine   bulrushlug.Engine
	recorder bulrushlug.Recorder
	wake     chan struct{}
	mu       sync.RWMutex      // Guards the fields below.
	loaded   map[string]string // Versions of the loaded models by name.
	fence    uint64            // Fencing token: the revision of the newest load command; older ones are not sent.
}

// New returns the loader of the agent m with the configuration of f.
func New(m bulrushlug.Member, f bulrushlug.ConfigSource, e bulrushlug.Engine, r bulrushlug.Recorder) *Loader {
	return &Loader{self: m, source: f, engine: e, recorder: r, wake: make(chan struct{}, 1), loaded: map[string]string{}}
}

// ConfigChanged wakes the loader after a configuration change.
func (l *Loader) ConfigChanged(*bulrushlug.Config) {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Models returns the models that are loaded and placed on this VM, sorted by name.
func (l *Loader) Models() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Sorted(maps.Keys(l.loaded))
}

// Run reconciles after configuration changes and at intervals, until c ends.
func (l *Loader) Run(c context.Context) error {
	for {
		p := reconcileInterval
		if !l.reconcile(c) {
			p = retryInterval
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

// reconcile loads the models that are missing, and reports whether all loads succeeded.
func (l *Loader) reconcile(c context.Context) bool {
	f := l.source.Config()
	want := l.wanted(f)
	l.unload(want)
	ok := true
	for m, v := range want {
		if l.has(m, v) {
			continue
		}
		if err := l.load(c, m, v, f.Revision()); err != nil {
			ok = false
		}
	}
	return ok
}

// wanted returns the versions of the models that are placed on this VM, by name.
func (l *Loader) wanted(f *bulrushlug.Config) map[string]string {
	n := match.VMLabels(f.VM(l.self.Name()), l.self.Zone(), l.self.Region())
	w := map[string]string{}
	for _, m := range f.Models() {
		if match.Matches(m.Selector(), n) {
			w[m.Name()] = m.Version()
		}
	}
	return w
}

// unload removes models from loaded that are no longer wanted in that version.
func (l *Loader) unload(want map[string]string) {
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

// load makes the engine load version v of model m; n is the revision of the configuration that it follows from.
func (l *Loader) load(c context.Context, m, v string, n uint64) error {
	l.mu.Lock()
	if n < l.fence {
		l.mu.Unlock()
		return bulrushlug.Errorf(bulrushlug.KindConflict, "revision %d is older than revision %d of the newest load command", n, l.fence)
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
