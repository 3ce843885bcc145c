// Package queue lets requests for which no backend server has room wait for a short time, in an order of fair shares.
package queue

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fade"
)

const (
	shardCount = 4
	rateTime   = time.Second // Time constant of the rate at which requests get room.
	// urgencyStep is how much earlier a request counts for each level of its priority: urgent requests go first, and none waits
	// forever behind them.
	urgencyStep = 100 * time.Millisecond
	minReturn   = 300 * time.Millisecond // Shortest retry delay; about the duration of a short response.
	returnParts = 3                      // Part of the time left after which a caller returns; it can then be rejected once more.
	maxReturn   = 2 * time.Second        // Longest retry delay; the load by then is unknown.
)

// Queue holds the requests of one process that wait for room, by service.
//
// Load pattern: a square wave whose crests ask for up to 1.4 times what the servers can do for a few seconds. Room becomes
// free all the time, so the requests that fit into their patience wait for it; those that do not are rejected before they
// have waited, and return one after the other.
type Queue struct {
	shares  bulrushlug.Shares
	waiting atomic.Int64 // Requests that wait, at all services.
	counts  counts
	shards  [shardCount]shard
}

// counts are the waits of a queue since its start.
type counts struct{ waits, waitedMicros, expired, rejected atomic.Int64 }

type shard struct {
	mu    sync.Mutex
	lines map[string]*line // By service.
}

// line is the queue of one service.
type line struct {
	waiters    []*waiter // In order of arrival.
	placed     fade.Sum  // Requests that got room.
	nextReturn time.Time // When the caller rejected last was told to return.
}

// waiter is one request that waits.
type waiter struct {
	bulrushlug.Waiter
	try   func(idle bool) bool
	since time.Time
	done  chan error // Buffered; gets the outcome once the waiter has left the line.
}

// New returns an empty queue that compares organisations by s.
func New(s bulrushlug.Shares) *Queue {
	q := &Queue{shares: s}
	for i := range q.shards {
		q.shards[i].lines = map[string]*line{}
	}
	return q
}

// String returns the counts of q in JSON, for package expvar: requests that waited, the time that those waited which got room,
// requests that waited in vain, and requests that were rejected because they would have.
func (q *Queue) String() string {
	c := &q.counts
	return fmt.Sprintf(`{"waits": %d, "waitedMicros": %d, "expired": %d, "rejected": %d}`, c.waits.Load(), c.waitedMicros.Load(), c.expired.Load(), c.rejected.Load())
}

func (q *Queue) shard(s string) *shard { return &q.shards[xxhash.Sum64String(s)%shardCount] }

// line returns the line of service s; the caller holds the lock.
func (h *shard) line(s string) *line {
	l, ok := h.lines[s]
	if !ok {
		l = &line{}
		h.lines[s] = l
	}
	return l
}

// Wait returns nil once f has taken room, which it does at once if nobody waits and there is some.
func (q *Queue) Wait(c context.Context, v bulrushlug.Waiter, f func(idle bool) bool) error {
	h := q.shard(v.Service())
	w := &waiter{Waiter: v, try: f, since: time.Now(), done: make(chan error, 1)}
	if err, ok := q.join(h, w); ok {
		return err
	}
	t := time.NewTimer(v.Patience())
	defer t.Stop()
	select {
	case err := <-w.done:
		return err
	case <-t.C:
		return q.leave(h, w, nil)
	case <-c.Done():
		return q.leave(h, w, c.Err())
	}
}

// join gives w room once it is its turn, or adds it to its line, or rejects it; ok reports that it need not wait.
func (q *Queue) join(h *shard, w *waiter) (err error, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.line(w.Service())
	first := len(l.waiters) == 0
	if first && q.place(l, w) {
		return nil, true
	}
	l.waiters = append(l.waiters, w)
	q.waiting.Add(1)
	if !first {
		q.serve(l) // Other processes may have freed room.
	}
	q.rejectLate(l)
	select {
	case err := <-w.done:
		return err, true
	default:
		q.counts.waits.Add(1)
		return nil, false
	}
}

// place tries to take room for w. An organisation that exceeds its share gets idle slots only, so that the places where a
// request waits at a server are left to the others.
func (q *Queue) place(l *line, w *waiter) bool {
	if !w.try(q.shares.Exceeds(w.Organisation())) {
		return false
	}
	l.placed.Add(time.Now(), 1, rateTime)
	q.shares.Charge(w.Organisation(), w.Work())
	return true
}

// leave removes w, which has waited for its patience, or fails with err; it returns the outcome if w has one already.
func (q *Queue) leave(h *shard, w *waiter, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.line(w.Service())
	if q.remove(l, w) {
		if err == nil && q.place(l, w) {
			q.serve(l)
			return nil
		}
		if err == nil {
			q.counts.expired.Add(1)
			err = l.reject(w)
		}
		return err
	}
	return <-w.done
}

// remove removes w from l, and reports whether it was there.
func (q *Queue) remove(l *line, w *waiter) bool {
	for i, x := range l.waiters {
		if x == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			q.waiting.Add(-1)
			return true
		}
	}
	return false
}

// Wake gives room to those who wait for service s.
func (q *Queue) Wake(s string) {
	if q.waiting.Load() == 0 {
		return
	}
	h := q.shard(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	q.serve(h.line(s))
}

// serve gives room to those in l, until there is none for the next one; the caller holds the lock.
func (q *Queue) serve(l *line) {
	for w := q.placeNext(l); w != nil; w = q.placeNext(l) {
		q.remove(l, w)
		q.counts.waitedMicros.Add(time.Since(w.since).Microseconds())
		w.done <- nil
	}
}

// placeNext takes room for the next waiter of l and returns it, or nil if there is none. A narrow one that finds none does not
// keep the others from theirs.
func (q *Queue) placeNext(l *line) *waiter {
	for _, w := range q.order(l) {
		if q.place(l, w) {
			return w
		}
		if !w.Narrow() {
			return nil
		}
	}
	return nil
}

// rejectLate rejects those who would not get room within their patience, at the rate at which others did lately. The first one
// may always wait, as room may be freed by other processes too.
func (q *Queue) rejectLate(l *line) {
	r := l.placed.Value(time.Now(), rateTime) / rateTime.Seconds()
	ahead := 0
	for _, w := range q.order(l) {
		left := w.Patience() - time.Since(w.since)
		if ahead > 0 && float64(ahead) > r*left.Seconds() {
			q.remove(l, w)
			q.counts.rejected.Add(1)
			w.done <- l.reject(w)
			continue
		}
		ahead++
	}
}

// reject returns the error of w, whose caller returns after those rejected before it, and not before a third of what it has
// left: it will be late in any case, and room is found once the crest is over.
func (l *line) reject(w *waiter) error {
	now := time.Now()
	gap := rateTime.Seconds() / max(1, l.placed.Value(now, rateTime))
	t := now.Add(min(maxReturn, max(minReturn, w.Deadline().Sub(now)/returnParts)))
	if l.nextReturn.After(t) {
		t = l.nextReturn
	}
	l.nextReturn = t.Add(time.Duration(gap * float64(time.Second)))
	if m := now.Add(maxReturn); l.nextReturn.After(m) {
		l.nextReturn = m
	}
	return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of service %s has room: %d requests wait, %.0f a second get room", w.Service(), len(l.waiters), 1/gap).WithRetryAfter(t.Sub(now))
}
