package crowd

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug/seat"
)

// TestWhoYields has a crowd take all places but the reserve, and more callers come than that has: the connection yields that is
// furthest behind.
func TestWhoYields(t *testing.T) {
	const (
		places  = 16
		members = places - places/reserve
		more    = places/reserve + 1
	)
	work := func(s *seat.Seat, _ time.Time) { s.Work() }
	for name, x := range map[string]struct {
		others func(s *seat.Seat, now time.Time) // What the crowd does.
		first  func(s *seat.Seat, now time.Time) // What the caller that was there first does.
		yields bool                              // The first one yields.
		ok     bool                              // The caller gets a place.
	}{
		"all send nothing":                   {yields: true, ok: true},
		"requests that run":                  {others: work, first: work},
		"one is idle, the others' run":       {others: work, yields: true, ok: true},
		"the first one runs":                 {first: work, ok: true},
		"the first one sends a large body":   {first: func(s *seat.Seat, now time.Time) { s.Wait(now.Add(-time.Second), 1<<20) }, ok: true},
		"the others send a byte a time":      {others: func(s *seat.Seat, now time.Time) { s.Wait(now.Add(-time.Second), 10) }, first: work, ok: true},
		"the first one reads no response":    {others: work, first: func(s *seat.Seat, now time.Time) { s.Write(now.Add(-2 * time.Second)) }, yields: true, ok: true},
		"the first one's response has begun": {others: work, first: func(s *seat.Seat, now time.Time) { s.Write(now) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(places)
				gone := map[int]bool{}
				var seats []*seat.Seat
				enter := func() bool {
					i := len(seats)
					var s *seat.Seat
					s = seat.New(func() bool {
						if s.Behind(time.Now()) < 0 {
							return false
						}
						gone[i] = true
						c.Leave(s)
						return true
					})
					seats = append(seats, s)
					_, ok := c.Enter(s)
					time.Sleep(time.Millisecond)
					return ok
				}
				for i := range members {
					if !enter() {
						t.Fatalf("no place for connection %d", i)
					}
					switch {
					case i == 0 && x.first != nil:
						x.first(seats[i], time.Now())
					case i > 0 && x.others != nil:
						x.others(seats[i], time.Now())
					}
				}
				ok := false
				for range more {
					ok = enter()
					seats[len(seats)-1].Work()
				}
				if ok != x.ok || gone[0] != x.yields {
					t.Errorf("place %v, yielded %v", ok, gone)
				}
				if n := c.Open(); n > places {
					t.Errorf("%d connections are open", n)
				}
			})
		})
	}
}

// TestSlowEnds has connections that yield take a while to end: the next caller waits for a place, and no longer than a
// moment.
func TestSlowEnds(t *testing.T) {
	for name, x := range map[string]struct {
		takes time.Duration // Time from yielding to the end of a connection.
		ok    bool
	}{
		"a moment": {takes: 10 * time.Millisecond, ok: true},
		"too long": {takes: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(1)
				var s *seat.Seat
				s = seat.New(func() bool {
					time.AfterFunc(x.takes, func() { c.Leave(s) })
					return true
				})
				if _, ok := c.Enter(s); !ok {
					t.Fatal("no place for the first connection")
				}
				begun := time.Now()
				if yielded, ok := c.Enter(seat.New(func() bool { return false })); !yielded || ok != x.ok {
					t.Errorf("yielded %v, place %v", yielded, ok)
				}
				if d := time.Since(begun); d != min(x.takes, yieldTime) {
					t.Errorf("the caller waited for %v", d)
				}
			})
		})
	}
}

// TestLeaveWhileAsked has connections end by themselves, or turn to work, while they are asked to yield.
func TestLeaveWhileAsked(t *testing.T) {
	const places = 8
	for name, x := range map[string]struct {
		leaves bool // The connection ends as it is asked.
		open   int  // Connections that are open in the end.
	}{
		"it ends":           {leaves: true, open: places - 1},
		"its request comes": {open: places},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, asked := New(places), 0
				var s *seat.Seat
				s = seat.New(func() bool {
					asked++
					if x.leaves {
						c.Leave(s)
					} else {
						s.Work()
					}
					return false
				})
				c.Enter(s)
				time.Sleep(time.Second)
				for range places - 1 {
					c.Enter(seat.New(func() bool { return true }))
				}
				if n := c.Open(); n != x.open {
					t.Errorf("%d connections are open", n)
				}
				if yielded, _ := c.Enter(seat.New(func() bool { return true })); !yielded || asked != 1 {
					t.Errorf("yielded %v, the first one was asked %d times", yielded, asked)
				}
				// One that was asked after the first one, and one for the caller above.
				if n := c.ending.Load(); n != 2 {
					t.Errorf("%d connections are ending", n)
				}
			})
		})
	}
}

// TestNextIsAsked has the connections that are furthest behind turn to work as they are asked: the next one is asked for the same
// caller, up to a bound.
func TestNextIsAsked(t *testing.T) {
	const places = 16
	for name, x := range map[string]struct {
		refusing int // Connections that refuse, those furthest behind.
		asked    int
		yielded  bool
	}{
		"none refuses":     {asked: 1, yielded: true},
		"the first does":   {refusing: 1, asked: 2, yielded: true},
		"all but the last": {refusing: mostAsked - 1, asked: mostAsked, yielded: true},
		"too many":         {refusing: mostAsked, asked: mostAsked},
		"all":              {refusing: places, asked: mostAsked},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(places)
				var asked []int
				for i := range places - places/reserve {
					if yielded, ok := c.Enter(seat.New(func() bool {
						asked = append(asked, i)
						return i >= x.refusing
					})); yielded || !ok {
						t.Fatalf("connection %d: yielded %v, place %v", i, yielded, ok)
					}
					time.Sleep(time.Millisecond)
				}
				yielded, ok := c.Enter(seat.New(func() bool { return false }))
				if yielded != x.yielded || !ok {
					t.Errorf("yielded %v, place %v", yielded, ok)
				}
				want := []int{0, 1, 2, 3}[:x.asked]
				if !slices.Equal(asked, want) {
					t.Errorf("connections %v were asked, want %v", asked, want)
				}
				if n := int(c.ending.Load()); n > 1 || (n == 1) != x.yielded {
					t.Errorf("%d connections are ending", n)
				}
			})
		})
	}
}
