// Package memlm is an in-memory language model engine with continuous batching in a fixed number of slots and fault injection.
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
	defaultTokens    = 16  // Completion length if the request sets no limit.
	prefixBytes      = 256 // Leading bytes of the body that identify a prompt's prefix.
	cachedPrefixes   = 64  // Capacity of the prefix cache.
	maxSavedProgress = 256 // Cancelled requests whose progress is kept.
)

// Engine generates tokens at a fixed rate. It admits requests in order of arrival, without priorities.
type Engine struct {
	slots         chan struct{} // Semaphore with one element per running request.
	tokenInterval atomic.Int64  // Nanoseconds per token.
	prefill       atomic.Int64  // Nanoseconds before the first token on a prefix cache miss.
	breakAfter    atomic.Int64  // Events after which each stream fails; zero for never.
	outage        atomic.Bool
	ignoreFence   atomic.Bool // Accept outdated fencing tokens.
	queued        atomic.Int64
	hits          atomic.Int64        // Prefix cache hits.
	mu            sync.Mutex          // Guards the fields below.
	fence         uint64              // Highest fencing token seen.
	models        map[string]string   // Versions of the loaded models by name.
	prefixes      []uint64            // Hashes of the cached prefixes, oldest first.
	stats         map[string]runStats // By request identifier.
	progress      map[string]int      // Tokens generated for cancelled requests, by request identifier.
}

// runStats counts the executions of one request identifier.
type runStats struct {
	started   uint32
	finished  uint32
	cancelled uint32 // Cancelled or failed.
	resumed   uint32 // Started with an event other than the first.
}

// New returns an engine with n slots, which takes d per token and p for the prefill of a prompt whose prefix is not cached.
func New(n int, d, p time.Duration) *Engine {
	e := &Engine{slots: make(chan struct{}, n), models: map[string]string{}, stats: map[string]runStats{}, progress: map[string]int{}}
	e.tokenInterval.Store(int64(d))
	e.prefill.Store(int64(p))
	return e
}

// SetTokenInterval sets the time per token.
func (e *Engine) SetTokenInterval(d time.Duration) { e.tokenInterval.Store(int64(d)) }

// SetOutage makes all requests fail with KindUnplaceable while v is true.
func (e *Engine) SetOutage(v bool) { e.outage.Store(v) }

// SetBreakAfter makes each stream fail with KindBroken after n events, unless it was resumed; zero disables that.
func (e *Engine) SetBreakAfter(n int) { e.breakAfter.Store(int64(n)) }

// SetIgnoreFence makes the engine accept load commands with an outdated fencing token.
func (e *Engine) SetIgnoreFence(v bool) { e.ignoreFence.Store(v) }

// Slots returns the maximum number of concurrent requests.
func (e *Engine) Slots(context.Context) (uint32, error) { return uint32(cap(e.slots)), nil }

// Active returns the number of running and of waiting requests.
func (e *Engine) Active() (running, waiting int) { return len(e.slots), int(e.queued.Load()) }

// CacheHits returns the number of requests whose prompt prefix was cached.
func (e *Engine) CacheHits() int { return int(e.hits.Load()) }

// Load makes the engine serve version v of model m; it fails with KindConflict if a higher fencing token was seen.
func (e *Engine) Load(_ context.Context, m, v string, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence && !e.ignoreFence.Load() {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "fencing token %d is older than %d", fence, e.fence)
	}
	e.fence = max(e.fence, fence)
	e.models[m] = v
	return nil
}

// Models returns the version of each loaded model.
func (e *Engine) Models() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]string{}
	for k, v := range e.models {
		m[k] = v
	}
	return m
}

// ForEachRequest calls f with the execution counts of each request identifier; cancelled includes broken streams.
func (e *Engine) ForEachRequest(f func(id string, started, finished, cancelled, resumed uint32)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, r := range e.stats {
		f(k, r.started, r.finished, r.cancelled, r.resumed)
	}
}

// updateStats applies f to the counts of request id.
func (e *Engine) updateStats(id string, f func(r *runStats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.stats[id]
	f(&r)
	e.stats[id] = r
}

// Run waits for a slot and generates the response to r.
func (e *Engine) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if e.outage.Load() {
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "engine is unavailable")
	}
	if err := e.acquire(c); err != nil {
		return err
	}
	e.updateStats(r.ID(), func(x *runStats) {
		x.started++
		if r.ResumeFrom() > 0 {
			x.resumed++
		}
	})
	err := e.generate(c, r, s)
	e.release(c)
	e.updateStats(r.ID(), func(x *runStats) {
		if err != nil {
			x.cancelled++
			return
		}
		x.finished++
	})
	return err
}

// acquire waits for a slot or the end of c.
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

// release frees a slot; after a cancellation only once the current decoding step ends.
func (e *Engine) release(c context.Context) {
	if c.Err() == nil {
		<-e.slots
		return
	}
	time.AfterFunc(time.Duration(e.tokenInterval.Load()), func() { <-e.slots })
}

// saveProgress stores the number of tokens generated for a cancelled request, so that a retry continues from there;
// at maxSavedProgress it first discards all others.
func (e *Engine) saveProgress(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.progress) >= maxSavedProgress {
		clear(e.progress)
	}
	e.progress[id] = n
}

// takeProgress removes and returns the number of tokens that an earlier run of request id generated.
func (e *Engine) takeProgress(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.progress[id]
	delete(e.progress, id)
	return n
}

func (e *Engine) generate(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	n := e.takeProgress(r.ID())
	if n == 0 && !e.lookupOrAddPrefix(r.Body()) {
		if err := bulrushlug.Sleep(c, time.Duration(e.prefill.Load())); err != nil {
			return err
		}
	}
	a := newCompletion(r)
	if !r.Stream() {
		return e.generateWhole(c, r, s, a, n)
	}
	return e.generateEvents(c, r, s, a)
}

// generateWhole generates the tokens from n on and writes the completion in one piece.
func (e *Engine) generateWhole(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, a completion, n int) error {
	for ; n < a.tokens; n++ {
		if err := bulrushlug.Sleep(c, time.Duration(e.tokenInterval.Load())); err != nil {
			e.saveProgress(r.ID(), n)
			return err
		}
	}
	return a.writeJSON(s)
}

// generateEvents streams the tokens that the request has not received yet as server-sent events.
func (e *Engine) generateEvents(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, a completion) error {
	if err := s.Head(http.StatusOK, "text/event-stream"); err != nil {
		return err
	}
	for i := int(r.ResumeFrom()); i < a.tokens; i++ {
		if err := bulrushlug.Sleep(c, time.Duration(e.tokenInterval.Load())); err != nil {
			return err
		}
		if n := int(e.breakAfter.Load()); n > 0 && i >= n && r.ResumeFrom() == 0 {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "stream interrupted after %d events", n)
		}
		if err := s.Write(a.event(i)); err != nil {
			return err
		}
	}
	return s.Write([]byte("data: [DONE]\n\n"))
}

// lookupOrAddPrefix reports whether the prefix of body b is cached. If not, it adds it and evicts the oldest one of a full
// cache (first in, first out).
func (e *Engine) lookupOrAddPrefix(b []byte) bool {
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

// tokenLimit returns the number of tokens to generate for the request body b.
func tokenLimit(b []byte) int {
	for _, k := range []string{"max_tokens", "max_completion_tokens"} {
		if n := gjson.GetBytes(b, k).Int(); n > 0 {
			return int(n)
		}
	}
	return defaultTokens
}
