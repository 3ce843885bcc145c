package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// wave is a square wave of online requests of many entries at many servers.
type wave struct {
	entries, servers int
	low, high        float64 // Requests a second in 3.6 s and in the 2.4 s after them.
}

// outcome counts what the requests of a wave met.
type outcome struct {
	requests    int
	connections int // Requests without an idle connection of their entry to their server.
	full        int // Requests without a server, or at one that had no slot left.
}

// pair is an entry and a server.
type pair struct{ entry, server string }

// running is a request in progress.
type running struct {
	*Reservation
	pair
	ends time.Time
}

// play plays x for 12 s; keeps says that servers leave connections open.
func (x wave) play(keeps bool) (o outcome) {
	const (
		slots    = 8
		length   = 800 * time.Millisecond // Of a request.
		interval = 500 * time.Millisecond // Of reports.
		tick     = 5 * time.Millisecond
	)
	var l []bulrushlug.Backend
	for i := range x.servers {
		l = append(l, backend(fmt.Sprint("s", i), slots))
	}
	var tables []*Table
	for i := range x.entries {
		b := New(fmt.Sprint("e", i), func() []string { return nil })
		b.Update(l)
		tables = append(tables, b)
	}
	r := rand.New(rand.NewPCG(1, 2))
	var open []running
	idle, online := map[pair][]time.Time{}, map[string]int{}
	due, begin := 0.0, time.Now()
	for n := 0; time.Since(begin) < 12*time.Second; n++ {
		time.Sleep(tick)
		now := time.Now()
		for len(open) > 0 && !now.Before(open[0].ends) {
			y := open[0]
			open = open[1:]
			if keeps {
				y.RecordSuccess(0)
				idle[y.pair] = append(idle[y.pair], now.Add(reuseTime))
			}
			y.Release()
			online[y.server]--
		}
		for i, b := range tables {
			if (n+i)%int(interval/tick) == 0 {
				report(b, tables)
			}
		}
		rate := x.low
		if now.Sub(begin)%(6*time.Second) > 3600*time.Millisecond {
			rate = x.high
		}
		for due += rate * tick.Seconds(); due >= 1; due-- {
			b := tables[r.IntN(len(tables))]
			o.requests++
			s, _ := b.AcquireOnline("s", nil)
			if s == nil {
				o.full++
				continue
			}
			k := pair{b.self, s.Backend().ID()}
			if c := idle[k]; len(c) > 0 && now.Before(c[len(c)-1]) {
				idle[k] = c[:len(c)-1]
			} else {
				o.connections++
			}
			if online[k.server]++; online[k.server] > slots {
				o.full++
			}
			open = append(open, running{s, k, now.Add(length)})
		}
	}
	return o
}

// report sends the usage of b to the other tables of l.
func report(b *Table, l []*Table) {
	u := b.Usages()
	for _, c := range l {
		if c != b {
			c.UpdateRemote(b.self, u)
		}
	}
}

// TestConnectionsAreReused replays waves in which a pair of an entry and a server meets rarely by chance. Requests go
// where their entry has a connection, and meet no more full servers than without any.
func TestConnectionsAreReused(t *testing.T) {
	for name, x := range map[string]struct {
		wave
		plays int // Few servers need many plays, as chance decides which requests meet a full one.
	}{
		"a few":    {wave{entries: 4, servers: 8, low: 14, high: 60}, 10},
		"tens":     {wave{entries: 20, servers: 40, low: 70, high: 280}, 1},
		"hundreds": {wave{entries: 88, servers: 160, low: 280, high: 1100}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full, fullWithout := 0, 0
				for range x.plays {
					o, none := x.play(true), x.play(false)
					t.Logf("%+v, without idle connections %+v", o, none)
					if o.connections > o.requests/2 {
						t.Errorf("%d of %d requests needed a connection", o.connections, o.requests)
					}
					full += o.full
					fullWithout += none.full
				}
				if full > fullWithout {
					t.Errorf("%d requests met a full server, %d without idle connections", full, fullWithout)
				}
			})
		})
	}
}
