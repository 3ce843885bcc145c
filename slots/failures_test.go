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
		"four requests, then two, one by one": {servers: []bulrushlug.Backend{backend("a", 8)}, inFlight: 4, trials: 2, least: 900 * time.Millisecond, most: 4100 * time.Millisecond},
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
