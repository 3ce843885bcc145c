package queue_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fair"
	"bulrushlug.dev/bulrushlug/queue"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	entryCount  = 24
	serverCount = 52
	slotCount   = 8
	runTime     = 800 * time.Millisecond // Mean time for which a request holds a slot.
	firstTime   = 80 * time.Millisecond  // Time from its start to its first event.
	target      = 300 * time.Millisecond // Of the first event.
	deadline    = 5 * time.Second
	silence     = 1200 * time.Millisecond // Time without an answer after which a request goes to another server.
	interval    = 288 * time.Millisecond  // Of reports.
	capacity    = serverCount * slotCount / 0.8
)

type source struct{ config *bulrushlug.Config }

func (s source) Config() *bulrushlug.Config { return s.config }
func (s source) Fresh() bool                { return true }
func (s source) Accepted() uint64           { return 1 }

// server runs slotCount requests at once, in order of arrival.
type server struct {
	slots chan struct{}
	dark  bool // It never answers.
}

// entry is one process that places requests.
type entry struct {
	table  *slots.Table
	shares *fair.Shares
	queue  *queue.Queue // Nil if requests without a place are rejected.
}

// outcome is what became of the requests of one organisation.
type outcome struct{ inTime, late, refused, failed int }

func (o *outcome) count() int { return o.inTime + o.late + o.refused + o.failed }

func (o *outcome) inTimeShare() float64 { return float64(o.inTime) / float64(o.count()) }

// fleet is a system in front of full servers.
type fleet struct {
	entries []entry
	servers map[string]*server
	random  *rand.Rand

	mu       sync.Mutex
	outcomes map[string]*outcome
}

func newFleet(queued bool, dark int) *fleet {
	f := &fleet{servers: map[string]*server{}, random: rand.New(rand.NewPCG(1, 44)), outcomes: map[string]*outcome{}}
	var l []bulrushlug.Backend
	for i := range serverCount {
		id := fmt.Sprint("s", i)
		f.servers[id] = &server{slots: make(chan struct{}, slotCount), dark: i < dark}
		l = append(l, bulrushlug.NewBackend(id, "s", "", bulrushlug.BackendZoneSlots("z", slotCount)))
	}
	c := source{bulrushlug.RestoreConfig(1, []bulrushlug.Change{
		bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("calm", 900, 900)),
		bulrushlug.NewChange("2", "t", bulrushlug.NewOrganisation("hot", 100, 100)),
	})}
	for i := range entryCount {
		e := entry{table: slots.New(fmt.Sprint("e", i), func() []string { return nil }), shares: fair.New(c)}
		e.table.Update(l)
		if queued {
			e.queue = queue.New(e.shares)
			e.table.OnFree(e.queue.Wake)
		}
		f.entries = append(f.entries, e)
	}
	return f
}

// report sends the reports of entry i until t.
func (f *fleet) report(i int, t time.Time) {
	e := f.entries[i]
	time.Sleep(time.Duration(i) * interval / entryCount)
	for ; time.Now().Before(t); time.Sleep(interval) {
		n := fmt.Sprint("e", i)
		r := bulrushlug.NewReport(bulrushlug.NewMember(n, "", "", "", ""), 1, 1, bulrushlug.ReportAdmissionCounts(e.shares.Add([]bulrushlug.AdmissionCount{
			bulrushlug.NewAdmissionCount("calm", 0, 0), bulrushlug.NewAdmissionCount("hot", 0, 0)})))
		for j, x := range f.entries {
			if i != j {
				x.table.UpdateRemote(n, e.table.Usages())
				x.shares.ApplyReport(r)
			}
		}
	}
}

// acquire takes a place at entry e for a request of organisation o.
func (e entry) acquire(o string, d time.Time, skip map[string]bool) (l *slots.Reservation, err error) {
	if e.queue != nil && e.table.HasReady("s", skip) {
		err = e.queue.Wait(context.Background(), bulrushlug.NewWaiter("s", o, 640).WithUrgency(0, d, target/2), func(idle bool) bool {
			l, _ = e.table.AcquireReady("s", skip, idle)
			return l != nil
		})
	}
	if l == nil && (err == nil || !e.shares.Exceeds(o)) {
		l, _ = e.table.AcquireOnline("s", skip)
	}
	return l, err
}

// request plays one request of organisation o that was first sent at b.
func (f *fleet) request(o string, b time.Time, again bool) {
	f.mu.Lock()
	e, run := f.entries[f.random.IntN(entryCount)], time.Duration((0.75+0.5*f.random.Float64())*float64(runTime))
	f.mu.Unlock()
	skip := map[string]bool{}
	for time.Since(b) < deadline {
		l, err := e.acquire(o, b.Add(deadline), skip)
		switch {
		case l == nil && again:
			f.count(o, func(x *outcome) { x.refused++ })
			return
		case l == nil:
			d := 300 * time.Millisecond
			if err != nil {
				d = bulrushlug.RetryAfterOf(err)
			}
			time.Sleep(min(d, (deadline-time.Since(b))/3))
			f.request(o, b, true)
			return
		}
		if s := f.servers[l.Backend().ID()]; !s.dark {
			s.slots <- struct{}{}
			time.Sleep(firstTime)
			f.count(o, func(x *outcome) {
				if time.Since(b) <= target {
					x.inTime++
				} else {
					x.late++
				}
			})
			time.Sleep(run - firstTime)
			<-s.slots
			l.RecordSuccess(0)
			l.Release()
			return
		}
		time.Sleep(silence / 2)
		l.RecordFailure()
		time.Sleep(silence / 2)
		l.Release()
		skip[l.Backend().ID()] = true
	}
	f.count(o, func(x *outcome) { x.failed++ })
}

func (f *fleet) count(o string, g func(x *outcome)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outcomes[o] == nil {
		f.outcomes[o] = &outcome{}
	}
	g(f.outcomes[o])
}

// play sends load times the capacity at the crests of a square wave of 6 s, until t; hot is the part of the requests of the
// organisation "hot" at the crests.
func (f *fleet) play(t time.Time, load, hot float64) {
	var w sync.WaitGroup
	defer w.Wait()
	for i := range f.entries {
		w.Go(func() { f.report(i, t.Add(deadline)) })
	}
	for b := time.Now(); time.Now().Before(t); {
		p, h := load*0.391/1.91, 0.1
		if time.Since(b)%(6*time.Second) >= 3600*time.Millisecond {
			p, h = load, hot
		}
		f.mu.Lock()
		d := time.Duration(f.random.ExpFloat64() / (p * capacity) * float64(time.Second))
		o := "calm"
		if f.random.Float64() < h {
			o = "hot"
		}
		f.mu.Unlock()
		time.Sleep(d)
		w.Go(func() { f.request(o, time.Now(), false) })
	}
}

// run returns what became of one period of the given load.
func run(t *testing.T, queued bool, load, hot float64, dark int) (o map[string]*outcome) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(queued, dark)
		f.play(time.Now().Add(6*time.Second), load, hot)
		o = f.outcomes
	})
	for n, x := range o {
		t.Logf("queue %v, %s: %d requests, %.3f in time, %d late, %d refused twice, %d failed", queued, n, x.count(), x.inTimeShare(), x.late, x.refused, x.failed)
	}
	return o
}

// TestCrest compares a queue with rejection at once while the crests of a square wave ask for as much as the servers can do,
// or for more: without a hot organisation as many requests are in time, and fewer are refused twice; with one, the others are
// served as if it were not there.
func TestCrest(t *testing.T) {
	for name, x := range map[string]struct {
		load, hot float64
		dark      int     // Servers that do not answer.
		gain      float64 // Of the share of the calm organisation's requests that are in time, at least.
		refused   int     // Requests of the calm organisation that are refused twice, at most.
	}{
		"1.0 of capacity":         {load: 1, hot: 0.1, gain: -0.05},
		"1.0, servers are dark":   {load: 1, hot: 0.1, dark: 7, gain: -0.05},
		"1.4 of capacity":         {load: 1.4, hot: 0.1, gain: -0.05, refused: 5},
		"1.4, six in ten are hot": {load: 1.4, hot: 0.6, gain: 0.08, refused: 5},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := run(t, false, x.load, x.hot, x.dark), run(t, true, x.load, x.hot, x.dark)
			if g := after["calm"].inTimeShare() - before["calm"].inTimeShare(); g < x.gain {
				t.Errorf("%.3f more of the calm organisation's requests are in time, want %.3f", g, x.gain)
			}
			if n := after["calm"].refused; n > x.refused {
				t.Errorf("%d requests of the calm organisation were refused twice, at most %d are expected", n, x.refused)
			}
		})
	}
}
