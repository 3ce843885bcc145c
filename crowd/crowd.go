// Package crowd bounds the connections of callers that are open at the same time.
//
// It answers many connections that are opened and then not used, or used as slowly as can be: whoever the process has waited
// for longest, for the bytes that are here, gives its place to a new caller. A request that is whole keeps its place. So a
// crowd takes places from its own members first, whatever their addresses are, and callers behind one address are not
// taken for a crowd.
package crowd

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug/seat"
)

const (
	shardCount = 8
	reserve    = 8                      // One in so many places is for connections that wait for others to end.
	mostAsked  = 4                      // Connections that are asked to yield for one new connection.
	yieldTime  = 250 * time.Millisecond // Time that a connection has to end after it yielded.
)

// Crowd is all connections of callers.
type Crowd struct {
	most   int           // Places; positive.
	open   atomic.Int64  // At most most.
	ending atomic.Int64  // Open connections that yielded or are being asked to.
	freed  chan struct{} // Has an element if a connection has ended since it was last read.
	next   atomic.Uint32 // Shard of the next connection.
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	seats map[*seat.Seat]bool // Open connections; false for those that yielded or are being asked to.
}

// New returns a crowd of at most n connections.
func New(n int) *Crowd {
	c := &Crowd{most: max(1, n), freed: make(chan struct{}, 1)}
	for i := range c.shards {
		c.shards[i].seats = map[*seat.Seat]bool{}
	}
	return c
}

// Enter gives s a place, and reports whether there is one; yielded means that another connection yields for it. Leave has to
// be called once the connection of s has ended. Enter may wait a moment until a connection that yields has ended, and is
// called by one goroutine at a time.
func (c *Crowd) Enter(s *seat.Seat) (yielded, ok bool) {
	n := int(c.open.Load()) + 1
	if n > c.most-c.most/reserve {
		yielded = c.yield()
	}
	if n > c.most && !c.waitFreed() {
		return yielded, false
	}
	c.open.Add(1)
	c.add(s)
	return yielded, true
}

func (c *Crowd) add(s *seat.Seat) {
	h := &c.shards[c.next.Add(1)%shardCount]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seats[s] = true
}

// waitFreed waits until there is a place, and returns false if there is none in time.
func (c *Crowd) waitFreed() bool {
	t := time.NewTimer(yieldTime)
	defer t.Stop()
	for int(c.open.Load()) >= c.most {
		if c.ending.Load() == 0 {
			return false
		}
		select {
		case <-c.freed:
		case <-t.C:
			return false
		}
	}
	return true
}

// Leave gives up the place of s.
func (c *Crowd) Leave(s *seat.Seat) {
	c.remove(s)
	c.open.Add(-1)
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

func (c *Crowd) remove(s *seat.Seat) {
	for i := range c.shards {
		h := &c.shards[i]
		h.mu.Lock()
		keeps, ok := h.seats[s]
		delete(h.seats, s)
		if ok && !keeps {
			c.ending.Add(-1)
		}
		h.mu.Unlock()
		if ok {
			return
		}
	}
}

// mark records whether s keeps its place, and returns false if it has left or this is recorded already.
func (c *Crowd) mark(h *shard, s *seat.Seat, keeps bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.seats[s]; !ok || old == keeps {
		return false
	}
	h.seats[s] = keeps
	if keeps {
		c.ending.Add(-1)
	} else {
		c.ending.Add(1)
	}
	return true
}

// yield ends the connection that the process has waited for longest, and reports whether there is one. If that turned to work
// meanwhile, the next one is asked.
func (c *Crowd) yield() bool {
	var asked []*seat.Seat
	for len(asked) < mostAsked {
		s, of := c.furthest(asked)
		if s == nil {
			return false
		}
		asked = append(asked, s)
		if !c.mark(of, s, false) {
			continue
		}
		if s.Yield() {
			return true
		}
		c.mark(of, s, true)
	}
	return false
}

// furthest returns the seat that is furthest behind of those that keep their places, but for the seats l, and its shard; nil if
// the process waits for none.
func (c *Crowd) furthest(l []*seat.Seat) (s *seat.Seat, of *shard) {
	now := time.Now()
	longest := time.Duration(-1)
	for i := range c.shards {
		h := &c.shards[i]
		h.mu.Lock()
		for x, keeps := range h.seats {
			if d := x.Behind(now); keeps && d > longest && !slices.Contains(l, x) {
				s, of, longest = x, h, d
			}
		}
		h.mu.Unlock()
	}
	return s, of
}

// Open returns the number of open connections.
func (c *Crowd) Open() int { return int(c.open.Load()) }
