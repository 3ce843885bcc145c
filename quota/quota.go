// Package quota is the client side of the distributed rate limiter: it requests admissions from the homes of
// organisations, batching the requests that wait at one entry.
package quota

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount     = 64
	requestTimeout = 250 * time.Millisecond  // Time after which an unanswered admission request is sent again.
	takeTimeout    = 1200 * time.Millisecond // Longest wait of one caller.
	maxRefusal     = time.Second             // Longest time for which a refusal is cached.
	retryInterval  = 50 * time.Millisecond   // Delay after a response from a process that is not the home.
)

// Client queues callers by organisation and sends one admission request at a time for all callers in a queue.
type Client struct {
	homes        bulrushlug.HomeLocator
	messenger    bulrushlug.Messenger
	counts       *expvar.Map
	lastSequence atomic.Uint64 // Sequence number of the last admission request.
	shards       [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	queues map[string]*queue
}

// queue holds the waiting callers of one organisation, oldest first.
type queue struct {
	waiting     []*waiter
	requested   int       // Waiters at the front that the outstanding request covers.
	sequence    uint64    // Sequence number of the outstanding request; zero if there is none.
	sent        time.Time // When the outstanding request was sent.
	refuseUntil time.Time // Callers are refused until then without a request.
}

type waiter struct{ done chan error }

// New returns a client that locates homes with o.
func New(o bulrushlug.HomeLocator, m bulrushlug.Messenger, counts *expvar.Map) *Client {
	q := &Client{homes: o, messenger: m, counts: counts}
	for i := range q.shards {
		q.shards[i].queues = map[string]*queue{}
	}
	return q
}

func (q *Client) shard(o string) *shard { return &q.shards[xxhash.Sum64String(o)%shardCount] }

func (s *shard) queue(o string) *queue {
	l, ok := s.queues[o]
	if !ok {
		l = &queue{}
		s.queues[o] = l
	}
	return l
}

// Take admits one request of organisation o; it fails with KindRateLimited, or with KindOverloaded if no home answered.
func (q *Client) Take(c context.Context, o string) error {
	w := &waiter{done: make(chan error, 1)}
	s := q.shard(o)
	s.mu.Lock()
	l := s.queue(o)
	if d := time.Until(l.refuseUntil); d > 0 {
		s.mu.Unlock()
		return rateLimited(d)
	}
	l.waiting = append(l.waiting, w)
	send := q.nextRequest(o, l)
	s.mu.Unlock()
	send()
	c, stop := context.WithTimeout(c, takeTimeout)
	defer stop()
	return q.await(c, o, w)
}

func rateLimited(d time.Duration) error {
	return bulrushlug.Errorf(bulrushlug.KindRateLimited, "the organisation has exceeded its rate limit").WithRetryAfter(d)
}

// await waits until w is admitted or refused, and resends lost admission requests.
func (q *Client) await(c context.Context, o string, w *waiter) error {
	for {
		t := time.NewTimer(requestTimeout)
		select {
		case err := <-w.done:
			t.Stop()
			return err
		case <-t.C:
			q.resend(o)
		case <-c.Done():
			t.Stop()
			return q.abandon(o, w)
		}
	}
}

// nextRequest prepares a request for all waiters unless one is outstanding; the caller holds the lock, and calls the
// returned function after releasing it.
func (q *Client) nextRequest(o string, l *queue) func() {
	if l.sequence != 0 || len(l.waiting) == 0 {
		return func() {}
	}
	l.requested = len(l.waiting)
	l.sequence = q.lastSequence.Add(1)
	l.sent = time.Now()
	a := bulrushlug.NewAdmissionRequest(o, uint32(l.requested), l.sequence)
	return func() { q.send(o, a) }
}

func (q *Client) send(o string, a bulrushlug.AdmissionRequest) {
	m, ok := q.homes.Member(q.homes.Owner(o))
	if !ok {
		return
	}
	q.counts.Add("asks", 1)
	q.messenger.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageAdmissionRequest(a)))
}

// resend replaces the outstanding request if it has timed out.
func (q *Client) resend(o string) {
	s := q.shard(o)
	s.mu.Lock()
	l := s.queue(o)
	send := func() {}
	if l.sequence != 0 && time.Since(l.sent) >= requestTimeout {
		l.sequence = 0
		send = q.nextRequest(o, l)
	}
	s.mu.Unlock()
	send()
}

// abandon removes w from its queue, or returns the result that arrived in the meantime.
func (q *Client) abandon(o string, w *waiter) error {
	s := q.shard(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	l := s.queue(o)
	for i, x := range l.waiting {
		if x != w {
			continue
		}
		l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
		if i < l.requested {
			l.requested--
		}
		break
	}
	q.counts.Add("noAnswer", 1)
	return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no answer from the home of organisation %s", o)
}

// Receive handles the grant in m, if there is one.
func (q *Client) Receive(m bulrushlug.Message) {
	g := m.Grant()
	if g == nil {
		return
	}
	o := g.Organisation()
	s := q.shard(o)
	s.mu.Lock()
	l := s.queue(o)
	if l.sequence == 0 || l.sequence != g.Sequence() {
		s.mu.Unlock()
		return
	}
	l.sequence = 0
	if !g.Home() {
		s.mu.Unlock()
		time.AfterFunc(retryInterval, func() { q.retry(o) })
		return
	}
	l.apply(*g)
	send := q.nextRequest(o, l)
	s.mu.Unlock()
	send()
}

// apply admits as many waiters as g grants, and refuses the others that the request covered.
func (l *queue) apply(g bulrushlug.Grant) {
	n := min(int(g.Count()), l.requested)
	for i, w := range l.waiting[:l.requested] {
		if i < n {
			w.done <- nil
		} else {
			w.done <- rateLimited(g.Wait())
		}
	}
	if n < l.requested {
		l.refuseUntil = time.Now().Add(min(g.Wait(), maxRefusal))
	}
	l.waiting = append([]*waiter(nil), l.waiting[l.requested:]...)
	l.requested = 0
}

func (q *Client) retry(o string) {
	s := q.shard(o)
	s.mu.Lock()
	send := q.nextRequest(o, s.queue(o))
	s.mu.Unlock()
	send()
}
