package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/even"
	"bulrushlug.dev/bulrushlug/least"
)

// crowd is a square wave of online requests, from 0.39 to 1.91 times their mean, of many entries at many servers.
type crowd struct {
	entries, servers int
	interval         time.Duration // Of reports.
	crest            float64       // Requests that run at once at a crest, as a share of the slots.
	uneven           bool          // Servers differ in speed, are slow at times, and some fail a part of their requests.
	plays            int           // Enough that the random parts of the scores don't decide.
}

const (
	crowdSlots  = 8
	crowdQueue  = 24
	crowdTick   = 5 * time.Millisecond
	crowdLength = 500 * time.Millisecond // Mean length of a request.
	crowdFirst  = 60 * time.Millisecond  // From the start of a request to its first event.
	crowdAim    = 300 * time.Millisecond // Longest time to the first event.
)

// engine is a server that runs crowdSlots requests in the order of their arrival.
type engine struct {
	speed, failing float64
	slowUntil      time.Time
	running        int
	queue          []*visit
}

func (e *engine) load() int { return e.running + len(e.queue) }

// slowness returns the length of what starts now, as a multiple of the usual one.
func (e *engine) slowness() float64 {
	if time.Now().Before(e.slowUntil) {
		return 2.5 / e.speed
	}
	return 1 / e.speed
}

// start starts v.
func (e *engine) start(v *visit) {
	e.running++
	f, now := e.slowness(), time.Now()
	v.first, v.end = now.Add(time.Duration(f*float64(crowdFirst))), now.Add(time.Duration(f*float64(v.length)))
	if v.fails {
		v.end = v.first
	}
}

// visit is a request at a server.
type visit struct {
	*Reservation // Nil under the chooser that knows all.
	engine       *engine
	arrived      time.Time
	length       time.Duration
	first, end   time.Time // Zero until the request starts.
	began, fails bool
}

// advance records what happened to v, and reports whether it has ended.
func (v *visit) advance(o *evenness) bool {
	now := time.Now()
	if v.first.IsZero() || now.Before(v.first) {
		return false
	}
	if !v.began {
		v.began = true
		if v.fails || v.first.Sub(v.arrived) > crowdAim {
			o.late++
		}
		if v.Reservation != nil && !v.fails {
			v.RecordFirst()
		}
	}
	if now.Before(v.end) {
		return false
	}
	if v.Reservation != nil {
		if v.fails {
			v.RecordFailure()
		} else {
			v.RecordSuccess(v.end.Sub(v.first).Seconds() / 21)
		}
		v.Release()
	}
	v.engine.running--
	if q := v.engine.queue; len(q) > 0 {
		v.engine.queue = q[1:]
		v.engine.start(q[0])
	}
	return true
}

// evenness is how evenly the requests of a crowd met the servers.
type evenness struct {
	requests  int
	late      int     // Requests that failed, or whose first event came late or never.
	full      int     // Requests at a server without an idle slot while another had one.
	peak      float64 // Sum over steps of 100 ms at crests of the busiest server's load against the mean.
	deviation float64 // Sum over them of the standard deviation of the servers' loads.
	steps     int
}

// onTime returns the share of the requests that were not late.
func (o evenness) onTime() float64 { return 1 - float64(o.late)/float64(o.requests) }

func (o evenness) String() string {
	n := float64(o.steps)
	return fmt.Sprintf("%.3f on time, %.3f at full servers, busiest server %.2f of the mean, deviation %.2f", o.onTime(),
		float64(o.full)/float64(o.requests), o.peak/n, o.deviation/n)
}

// measure adds the present load of the servers.
func (o *evenness) measure(l []*engine) {
	most, sum, squares := 0.0, 0.0, 0.0
	for _, e := range l {
		n := float64(e.load())
		most, sum, squares = max(most, n), sum+n, squares+n*n
	}
	m := sum / float64(len(l))
	o.steps++
	o.peak += most / m
	o.deviation += math.Sqrt(squares/float64(len(l)) - m*m)
}

// bestOf returns the server where a request that comes now waits least, by all that is the case, and whether any has an
// idle slot.
func bestOf(l []*engine) (best *engine, idle bool) {
	low := math.Inf(1)
	for _, e := range l {
		idle = idle || e.load() < crowdSlots
		wait := max(0, e.load()-crowdSlots+1)
		if x := (float64(wait)+float64(e.load())/100)*e.slowness() + e.failing*100; x < low && e.load() < crowdSlots+crowdQueue {
			best, low = e, x
		}
	}
	return best, idle
}

// play plays x with chooser c, or with one that knows all if c is nil, each time from the start.
func (x crowd) play(c bulrushlug.Chooser) (o evenness) {
	for i := range x.plays {
		x.playWaves(c, rand.New(rand.NewPCG(1, 2+uint64(i))), &o)
	}
	return o
}

// playWaves plays x for two waves and adds what happened to o.
func (x crowd) playWaves(c bulrushlug.Chooser, r *rand.Rand, o *evenness) {
	const period, rise, waves = 6 * time.Second, 3600 * time.Millisecond, 2
	var l []bulrushlug.Backend
	var engines []*engine
	byID := map[string]*engine{}
	for i := range x.servers {
		e := &engine{speed: 1}
		if x.uneven {
			if e.speed = 0.6 + r.Float64(); i%9 == 0 {
				e.failing = 0.3
			}
		}
		l = append(l, backend(fmt.Sprint("s", i), crowdSlots))
		engines, byID[l[i].ID()] = append(engines, e), e
	}
	var tables []*Table
	var callers []int // Entries, as often as callers come to them: some get four times as many as others.
	for i := range x.entries {
		b := New(fmt.Sprint("e", i), alone, WithChooser(c))
		b.Update(l)
		tables = append(tables, b)
		for range 1 + i%4 {
			callers = append(callers, i)
		}
	}
	var open []*visit
	rate, due := x.crest*float64(x.servers*crowdSlots)/crowdLength.Seconds(), 0.0
	begin := time.Now()
	for n := 0; time.Since(begin) < waves*period; n++ {
		time.Sleep(crowdTick)
		step, t := n%int(100*time.Millisecond/crowdTick) == 0, time.Since(begin)%period
		rest := open[:0]
		for _, v := range open {
			if !v.advance(o) {
				rest = append(rest, v)
			}
		}
		open = rest
		for i, b := range tables {
			if (n+7*i)%int(x.interval/crowdTick) == 0 {
				report(b, tables)
			}
		}
		for _, e := range engines {
			if x.uneven && step && r.Float64() < 0.01 {
				e.slowUntil = time.Now().Add(600 * time.Millisecond)
			}
		}
		if step && t > rise+crowdLength {
			o.measure(engines)
		}
		if due += rate * crowdTick.Seconds() * 0.39 / 1.91; t > rise {
			due += rate * crowdTick.Seconds() * (1 - 0.39/1.91)
		}
		for ; due >= 1; due-- {
			v := &visit{arrived: time.Now(), length: time.Duration((0.5 + r.Float64()) * float64(crowdLength))}
			at, u := tables[callers[r.IntN(len(callers))]], r.Float64()
			var idle bool
			if v.engine, idle = bestOf(engines); c != nil {
				if v.Reservation, _ = at.AcquireOnline("s", nil); v.Reservation != nil {
					v.engine = byID[v.Backend().ID()]
				}
			}
			o.requests++
			e := v.engine
			if e.load() >= crowdSlots && idle {
				o.full++
			}
			v.fails = u < e.failing
			switch {
			case c != nil && v.Reservation == nil:
				o.late++
				continue
			case e.running < crowdSlots:
				e.start(v)
			case len(e.queue) < crowdQueue:
				e.queue = append(e.queue, v)
			default:
				o.late++
				v.Release()
				continue
			}
			open = append(open, v)
		}
	}
	for _, v := range open {
		if !v.began && time.Since(v.arrived) > crowdAim {
			o.late++
		}
	}
}

// TestEvenLoad replays crowds in which the least loaded server by reports is that of all processes, so that servers are
// overrun in turns while others idle.
func TestEvenLoad(t *testing.T) {
	const most = 0.9 // Share of what a chooser that knows all gets which must be reached.
	for name, x := range map[string]crowd{
		"crests at capacity":            {entries: 24, servers: 52, interval: 300 * time.Millisecond, crest: 1, plays: 2},
		"crests at 0.9 of it":           {entries: 24, servers: 52, interval: 300 * time.Millisecond, crest: 0.9, plays: 4},
		"crests at 0.7 of it":           {entries: 24, servers: 52, interval: 300 * time.Millisecond, crest: 0.7, plays: 6},
		"more processes, older reports": {entries: 40, servers: 56, interval: 500 * time.Millisecond, crest: 0.9, plays: 2},
		"few processes":                 {entries: 4, servers: 8, interval: 100 * time.Millisecond, crest: 0.9, plays: 25},
		"servers of unequal speed":      {entries: 24, servers: 52, interval: 300 * time.Millisecond, crest: 0.9, uneven: true, plays: 8},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old, got, all := x.play(least.New()), x.play(even.New()), x.play(nil)
				t.Logf("least loaded: %s\neven: %s\nall known: %s", old, got, all)
				if got.onTime() < most*all.onTime() || got.onTime() < old.onTime() {
					t.Errorf("%.3f on time, %.3f by the least loaded server, %.3f where all is known", got.onTime(), old.onTime(), all.onTime())
				}
				if got.deviation > 0.95*old.deviation || got.full > old.full {
					t.Errorf("deviation %.2f and %d at full servers, %.2f and %d by the least loaded server", got.deviation/float64(got.steps), got.full, old.deviation/float64(old.steps), old.full)
				}
			})
		})
	}
}

// TestNewsOfAnswers guards against a server that fails the requests of one process after the other, and against one that
// is avoided for long after it got better, where the only other server has more requests.
func TestNewsOfAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		own    bool // The failures were this process's; otherwise another process reports them.
		after  time.Duration
		avoids bool
	}{
		"another process just told of it": {avoids: true},
		"it was told a second ago":        {after: remoteTimeout + time.Millisecond},
		"this process just saw it":        {own: true, avoids: true},
		"it was seen a while ago":         {own: true, after: maxBackoff + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone, WithChooser(even.New()))
				b.Update([]bulrushlug.Backend{backend("a", 8), backend("b", 8)})
				if x.own {
					r, _ := b.AcquireOnline("s", map[string]bool{"b": true})
					r.RecordFailure()
					r.Release()
				} else {
					b.UpdateRemote("other", []bulrushlug.Usage{bulrushlug.NewUsage("a", 0, 0).WithAnswers(bulrushlug.NewAnswers(1, 80, 3))})
				}
				time.Sleep(x.after)
				b.UpdateRemote("third", []bulrushlug.Usage{bulrushlug.NewUsage("b", 4, 0)})
				atA := 0
				for range 50 {
					r, _ := b.AcquireOnline("s", nil)
					if r.Backend().ID() == "a" {
						atA++
					}
					r.Release()
				}
				if x.avoids && atA > 0 || !x.avoids && atA < 50 {
					t.Errorf("%d of 50 requests at the server", atA)
				}
			})
		})
	}
}
