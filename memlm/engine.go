// Package memlm is an in-memory model engine with continuous batching in a limited number of slots.
package memlm

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
)

const (
	defaultTokens  = 16  // Tokens of an answer whose length the request does not limit.
	prefixBytes    = 256 // Bytes of the body that identify a prompt's prefix.
	cachedPrefixes = 64  // Prefixes that the cache holds.
)

// Engine generates tokens at a fixed pace; it admits requests as they come and knows no priority.
type Engine struct {
	slots    chan struct{} // One element for each request that runs.
	token    atomic.Int64  // Nanoseconds from one token to the next.
	prefill  atomic.Int64  // Nanoseconds before the first token if the prefix is not cached.
	breaks   atomic.Int64  // Events after which each stream breaks; zero for never.
	outage   atomic.Bool
	ignore   atomic.Bool // Orders with an old fencing number are accepted.
	queued   atomic.Int64
	hits     atomic.Int64 // Requests whose prefix was cached.
	mu       sync.Mutex   // Guards the fields below.
	fence    uint64       // Highest fencing number seen.
	models   map[string]string
	prefixes []uint64 // Newest last.
	ran      map[string]record
}

// record says what was done for one request identifier.
type record struct {
	started   uint32
	finished  uint32
	cancelled uint32 // Cancelled or broken.
	resumed   uint32 // Started from a later event.
}

// New returns an engine with n slots, d between tokens and p before the first token.
func New(n int, d, p time.Duration) *Engine {
	e := &Engine{slots: make(chan struct{}, n), models: map[string]string{}, ran: map[string]record{}}
	e.token.Store(int64(d))
	e.prefill.Store(int64(p))
	return e
}

// SetToken sets the time between tokens.
func (e *Engine) SetToken(d time.Duration) { e.token.Store(int64(d)) }

// SetOutage makes all requests fail while v is true.
func (e *Engine) SetOutage(v bool) { e.outage.Store(v) }

// SetBreak makes each stream break after n events; zero for never.
func (e *Engine) SetBreak(n int) { e.breaks.Store(int64(n)) }

// SetIgnoreFence makes the engine accept orders with an old fencing number.
func (e *Engine) SetIgnoreFence(v bool) { e.ignore.Store(v) }

// Slots returns how many requests run at once.
func (e *Engine) Slots(context.Context) (uint32, error) { return uint32(cap(e.slots)), nil }

// Active returns how many requests run and how many wait.
func (e *Engine) Active() (running, waiting int) { return len(e.slots), int(e.queued.Load()) }

// Hits returns how many requests found their prefix cached.
func (e *Engine) Hits() int { return int(e.hits.Load()) }

// Load makes the engine serve version v of model m, unless a higher fence was seen.
func (e *Engine) Load(_ context.Context, m, v string, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence && !e.ignore.Load() {
		return bulrushlug.NewFault(bulrushlug.KindConflict, "fencing number %d is older than %d", fence, e.fence)
	}
	e.fence = max(e.fence, fence)
	e.models[m] = v
	return nil
}

// Models returns the loaded models and their versions.
func (e *Engine) Models() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]string{}
	for k, v := range e.models {
		m[k] = v
	}
	return m
}

// Ran calls f with how often each request started, finished, was cancelled or broke, and was resumed.
func (e *Engine) Ran(f func(id string, started, finished, cancelled, resumed uint32)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, r := range e.ran {
		f(k, r.started, r.finished, r.cancelled, r.resumed)
	}
}

func (e *Engine) note(id string, f func(r *record)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ran[id]
	f(&r)
	e.ran[id] = r
}

// Run generates the answer to r.
func (e *Engine) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if e.outage.Load() {
		return bulrushlug.NewFault(bulrushlug.KindUnplaceable, "engine is out")
	}
	if err := e.acquire(c); err != nil {
		return err
	}
	defer func() { <-e.slots }()
	e.note(r.ID(), func(x *record) {
		x.started++
		if r.Resume() > 0 {
			x.resumed++
		}
	})
	err := e.generate(c, r, s)
	e.note(r.ID(), func(x *record) {
		if err != nil {
			x.cancelled++
			return
		}
		x.finished++
	})
	return err
}

func (e *Engine) acquire(c context.Context) error {
	e.queued.Add(1)
	defer e.queued.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

func (e *Engine) generate(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if !e.cached(r.Body()) {
		if err := bulrushlug.Wait(c, time.Duration(e.prefill.Load())); err != nil {
			return err
		}
	}
	a := newAnswer(r)
	if !r.Stream() {
		if err := bulrushlug.Wait(c, time.Duration(a.tokens)*time.Duration(e.token.Load())); err != nil {
			return err
		}
		return a.whole(s)
	}
	return e.events(c, r, s, a)
}

func (e *Engine) events(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, a answer) error {
	if err := s.Head(http.StatusOK, "text/event-stream"); err != nil {
		return err
	}
	for i := int(r.Resume()); i < a.tokens; i++ {
		if err := bulrushlug.Wait(c, time.Duration(e.token.Load())); err != nil {
			return err
		}
		if n := int(e.breaks.Load()); n > 0 && i >= n && r.Resume() == 0 {
			return bulrushlug.NewFault(bulrushlug.KindBroken, "stream broke after %d events", n)
		}
		if err := s.Write(a.event(i)); err != nil {
			return err
		}
	}
	return s.Write([]byte("data: [DONE]\n\n"))
}

// cached reports whether the prefix of body b is in the cache, and adds it.
func (e *Engine) cached(b []byte) bool {
	h := xxhash.Sum64(b[:min(len(b), prefixBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.prefixes {
		if x == h {
			e.hits.Add(1)
			return true
		}
	}
	e.prefixes = append(e.prefixes, h)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func limit(b []byte) int {
	for _, k := range []string{"max_tokens", "max_completion_tokens"} {
		if n := gjson.GetBytes(b, k).Int(); n > 0 {
			return int(n)
		}
	}
	return defaultTokens
}
