// Package quota asks the homes of organisations for admissions on behalf of an entry.
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
	shardCount  = 64
	askTimeout  = 250 * time.Millisecond  // Time after which an unanswered question is asked again.
	takeTimeout = 1200 * time.Millisecond // Bounds the wait of one request.
	closedTime  = time.Second             // Bounds how long a refusal stands in for asking the home.
	retryPause  = 50 * time.Millisecond   // Pause after an answer of a process that is not the home.
)

// Client gathers the requests that wait for admission, and asks for them together.
type Client struct {
	owners bulrushlug.HomeLocator
	mesh   bulrushlug.Messenger
	counts *expvar.Map
	next   atomic.Uint64 // Number of the last question.
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	orgs map[string]*line
}

// line is the queue of one organisation.
type line struct {
	waiting  []*waiter
	asked    int       // Waiters at the front for whom the open question asks.
	sequence uint64    // Number of the open question; zero if there is none.
	sent     time.Time // When the open question was sent.
	closed   time.Time // Until then the home has nothing to grant.
}

type waiter struct{ done chan error }

// New returns a quota that finds homes by o.
func New(o bulrushlug.HomeLocator, m bulrushlug.Messenger, counts *expvar.Map) *Client {
	q := &Client{owners: o, mesh: m, counts: counts}
	for i := range q.shards {
		q.shards[i].orgs = map[string]*line{}
	}
	return q
}

func (q *Client) shard(o string) *shard { return &q.shards[xxhash.Sum64String(o)%shardCount] }

func (s *shard) line(o string) *line {
	l, ok := s.orgs[o]
	if !ok {
		l = &line{}
		s.orgs[o] = l
	}
	return l
}

// Take admits one request of o, or fails with KindRateLimited; KindOverloaded means that no home answered.
func (q *Client) Take(c context.Context, o string) error {
	w := &waiter{done: make(chan error, 1)}
	s := q.shard(o)
	s.mu.Lock()
	l := s.line(o)
	if d := time.Until(l.closed); d > 0 {
		s.mu.Unlock()
		return limited(d)
	}
	l.waiting = append(l.waiting, w)
	send := q.open(o, l)
	s.mu.Unlock()
	send()
	c, stop := context.WithTimeout(c, takeTimeout)
	defer stop()
	return q.await(c, o, w)
}

func limited(d time.Duration) error {
	return bulrushlug.Errorf(bulrushlug.KindRateLimited, "the organisation's rate and burst are used up").WithWait(d)
}

// await waits for the answer to w and repeats questions that are lost.
func (q *Client) await(c context.Context, o string, w *waiter) error {
	for {
		t := time.NewTimer(askTimeout)
		select {
		case err := <-w.done:
			t.Stop()
			return err
		case <-t.C:
			q.again(o)
		case <-c.Done():
			t.Stop()
			return q.leave(o, w)
		}
	}
}

// open starts a question for all that wait, if none is open; the caller holds the lock and then calls the result.
func (q *Client) open(o string, l *line) func() {
	if l.sequence != 0 || len(l.waiting) == 0 {
		return func() {}
	}
	l.asked = len(l.waiting)
	l.sequence = q.next.Add(1)
	l.sent = time.Now()
	a := bulrushlug.NewAdmissionRequest(o, uint32(l.asked), l.sequence)
	return func() { q.send(o, a) }
}

func (q *Client) send(o string, a bulrushlug.AdmissionRequest) {
	m, ok := q.owners.Member(q.owners.Owner(o))
	if !ok {
		return
	}
	q.counts.Add("asks", 1)
	q.mesh.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageAdmissionRequest(a)))
}

// again gives up the open question if it is old, and asks anew.
func (q *Client) again(o string) {
	s := q.shard(o)
	s.mu.Lock()
	l := s.line(o)
	send := func() {}
	if l.sequence != 0 && time.Since(l.sent) >= askTimeout {
		l.sequence = 0
		send = q.open(o, l)
	}
	s.mu.Unlock()
	send()
}

// leave takes w out of the queue; an admission that came in the meantime is used.
func (q *Client) leave(o string, w *waiter) error {
	s := q.shard(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	l := s.line(o)
	for i, x := range l.waiting {
		if x != w {
			continue
		}
		l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
		if i < l.asked {
			l.asked--
		}
		break
	}
	q.counts.Add("noAnswer", 1)
	return bulrushlug.Errorf(bulrushlug.KindOverloaded, "the home of %s does not answer", o)
}

// Receive handles the part of m that answers a question.
func (q *Client) Receive(m bulrushlug.Message) {
	g := m.Grant()
	if g == nil {
		return
	}
	o := g.Organisation()
	s := q.shard(o)
	s.mu.Lock()
	l := s.line(o)
	if l.sequence == 0 || l.sequence != g.Sequence() {
		s.mu.Unlock()
		return
	}
	l.sequence = 0
	if !g.Home() {
		s.mu.Unlock()
		time.AfterFunc(retryPause, func() { q.retry(o) })
		return
	}
	l.answer(*g)
	send := q.open(o, l)
	s.mu.Unlock()
	send()
}

// answer admits as many waiters as g grants and refuses the others for whom it was asked.
func (l *line) answer(g bulrushlug.Grant) {
	n := min(int(g.Count()), l.asked)
	for i, w := range l.waiting[:l.asked] {
		if i < n {
			w.done <- nil
		} else {
			w.done <- limited(g.Wait())
		}
	}
	if n < l.asked {
		l.closed = time.Now().Add(min(g.Wait(), closedTime))
	}
	l.waiting = append([]*waiter(nil), l.waiting[l.asked:]...)
	l.asked = 0
}

func (q *Client) retry(o string) {
	s := q.shard(o)
	s.mu.Lock()
	send := q.open(o, s.line(o))
	s.mu.Unlock()
	send()
}
