package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestFailures guards against a server that is avoided for longer than what was seen of it calls for: requests that break
// together are one observation, and a server that is well must not be lost to batch items when all others are avoided too.
func TestFailures(t *testing.T) {
	for name, x := range map[string]struct {
		servers  []bulrushlug.Backend
		inFlight int           // Requests at each server that break at once.
		trials   int           // Further runs that fail, one after the other, each as soon as there is a slot.
		most     time.Duration // Time in which there is a slot after the last failure.
		least    time.Duration // Time in which there is none.
	}{
		"one request":                         {servers: []bulrushlug.Backend{backend("a", 8)}, inFlight: 1, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		"four requests at once":               {servers: []bulrushlug.Backend{backend("a", 8)}, inFlight: 4, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		"all servers, four requests at each":  {servers: []bulrushlug.Backend{backend("a", 8), backend("b", 8), backend("c", 8)}, inFlight: 4, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		"four requests, then two, one by one": {servers: []bulrushlug.Backend{backend("a", 8)}, inFlight: 4, trials: 2, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone)
				b.Update(x.servers)
				var l []*Reservation
				for range x.inFlight * len(x.servers) {
					r, _ := b.AcquireOnline("s", nil)
					l = append(l, r)
				}
				time.Sleep(10 * time.Millisecond)
				for _, r := range l {
					r.RecordFailure()
					r.Release()
				}
				failed := time.Now()
				next := func() *Reservation {
					for time.Since(failed) < 20*time.Second {
						if r := b.AcquireBatch("s"); r != nil {
							return r
						}
						time.Sleep(50 * time.Millisecond)
					}
					t.Fatal("no slot in 20 s")
					return nil
				}
				for range x.trials {
					r := next()
					r.RecordFailure()
					r.Release()
					failed = time.Now()
				}
				next().Release()
				if d := time.Since(failed); d < x.least || d > x.most {
					t.Errorf("a slot %s after the last failure", d)
				}
			})
		})
	}
}

// TestAvoidedServersAreTried guards against batch items at a server in back-off while there is another one, and against more
// than one of them at a time where there is none.
func TestAvoidedServersAreTried(t *testing.T) {
	for name, x := range map[string]struct {
		well  bool // Another server has not failed.
		held  bool // Each trial goes on.
		after time.Duration
		want  int // Items at the server in back-off within that time.
	}{
		"another one is well":           {well: true, after: 7 * time.Second},
		"too soon":                      {after: 900 * time.Millisecond},
		"a trial":                       {after: 7 * time.Second, held: true, want: 1},
		"trials that end at once":       {after: 3900 * time.Millisecond, want: 3},
		"its back-off is over, a trial": {after: 8200 * time.Millisecond, held: true, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone)
				l := []bulrushlug.Backend{backend("a", 4)}
				if x.well {
					l = append(l, backend("b", 4))
				}
				b.Update(l)
				for range 4 {
					r, _ := b.AcquireOnline("s", map[string]bool{"b": true})
					r.RecordFailure()
					r.Release()
					time.Sleep(10 * time.Second)
				}
				r, _ := b.AcquireOnline("s", map[string]bool{"b": true})
				time.Sleep(time.Millisecond)
				r.RecordFailure()
				r.Release()
				failed, n := time.Now(), 0
				for time.Since(failed) < x.after {
					time.Sleep(50 * time.Millisecond)
					r := b.AcquireBatch("s")
					if r == nil {
						continue
					}
					if r.Backend().ID() == "a" {
						n++
					}
					if !x.held || r.Backend().ID() == "b" {
						r.Release()
					}
				}
				if n != x.want {
					t.Errorf("%d items at the server in back-off, want %d", n, x.want)
				}
			})
		})
	}
}
