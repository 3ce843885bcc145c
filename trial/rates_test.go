package trial

import (
	"context"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/bounds"
)

// bucket is the checker's own account of one organisation; it shares no code with the product.
type bucket struct {
	rate, burst, level float64
	last               time.Time
}

func (b *bucket) flow(t time.Time) {
	b.level = math.Min(b.burst, b.level+b.rate*t.Sub(b.last).Seconds())
	b.last = t
}

// rateRun drives organisations through all entries, and collects what the homes granted and what callers saw.
type rateRun struct {
	f      *virtualFleet
	random *rand.Rand
	mu     sync.Mutex
	limits map[string]*bucket // What is inside the rate, by organisation.
	grants map[string][]grant
	inside map[string]int // Requests inside the rate.
	wrong  map[string]int // Requests inside the rate that were refused.
	passed map[string]int
}

type grant struct {
	at time.Time
	n  uint32
}

type traffic struct {
	rate  float64
	burst uint32
	load  float64 // Requests for each one that the rate allows.
	skew  bool    // All requests come through one entry.
}

func newRateRun(f *virtualFleet, seed uint64) *rateRun {
	r := &rateRun{f: f, random: rand.New(rand.NewPCG(seed, 7)), limits: map[string]*bucket{}, grants: map[string][]grant{},
		inside: map[string]int{}, wrong: map[string]int{}, passed: map[string]int{}}
	f.net.OnSend(func(_ bulrushlug.Member, m bulrushlug.Message) {
		if g := m.Grant(); g != nil && g.Count() > 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.grants[g.Organisation()] = append(r.grants[g.Organisation()], grant{at: time.Now(), n: g.Count()})
		}
	})
	return r
}

// drive sends the requests of organisation o for d, evenly spread in time with jitter.
func (r *rateRun) drive(o string, x traffic, d time.Duration) {
	r.mu.Lock()
	r.limits[o] = &bucket{rate: x.rate, burst: float64(x.burst), level: float64(x.burst), last: time.Now()}
	r.mu.Unlock()
	var g sync.WaitGroup
	defer g.Wait()
	gap := time.Duration(float64(time.Second) / (x.rate * x.load))
	for end := time.Now().Add(d); time.Now().Before(end); {
		r.mu.Lock()
		w := time.Duration(r.random.ExpFloat64() * float64(gap))
		l := r.f.reachable()
		i := r.random.IntN(len(l))
		if x.skew && r.random.Float64() < 0.9 {
			i = 0
		}
		p := l[i]
		r.mu.Unlock()
		time.Sleep(w)
		if r.f.isDown(p.member.Name()) {
			continue
		}
		in := r.arrive(o)
		g.Go(func() { r.take(o, p, in) })
	}
}

// arrive reports whether a request now is inside the organisation's rate.
func (r *rateRun) arrive(o string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.limits[o]
	b.flow(time.Now())
	if b.level < 1 {
		return false
	}
	b.level--
	r.inside[o]++
	return true
}

func (r *rateRun) take(o string, p *process, in bool) {
	err := p.control.Limiter().Take(context.Background(), o)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.passed[o]++
	case in:
		r.wrong[o]++
	}
}

// check replays the grants against the rate, and returns the largest number granted too much at any instant.
func (r *rateRun) check(o string, x traffic) float64 {
	l := r.grants[o]
	sort.SliceStable(l, func(i, j int) bool { return l[i].at.Before(l[j].at) })
	worst := 0.0
	if len(l) == 0 {
		return 0
	}
	b := &bucket{rate: x.rate, burst: float64(x.burst), level: float64(x.burst), last: l[0].at}
	for _, g := range l {
		b.flow(g.at)
		b.level -= float64(g.n)
		worst = math.Max(worst, -b.level)
	}
	return worst
}

func granted(l []grant) (n int) {
	for _, g := range l {
		n += int(g.n)
	}
	return n
}

var rateFaults = map[string]struct {
	bound float64 // Share of requests inside the rate that may be refused; 1 where it is only reported.
	long  time.Duration
	fault func(f *virtualFleet, home string)
}{
	"none": {bound: bounds.InRateRefusals, long: 60 * time.Second, fault: func(*virtualFleet, string) {}},
	"homeKilled": {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.kill(home)
		f.list.Remove(home)
	}},
	"homeCrashed":    {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) { f.kill(home) }},
	"homePaused":     {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) { f.pause(home, 8*time.Second) }},
	"homePausedLong": {bound: 1, long: 90 * time.Second, fault: func(f *virtualFleet, home string) { f.pause(home, 40*time.Second) }},
	"homeRestarted": {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.kill(home)
		time.Sleep(time.Second)
		f.start(f.get(home).member)
	}},
	"joinsAndLeaves": {bound: 1, long: 120 * time.Second, fault: func(f *virtualFleet, home string) {
		f.list.SetLag(0)
		m := member(len(f.order), 3)
		f.list.Put(m)
		f.start(m)
		time.Sleep(40 * time.Second)
		f.list.Leave(home)
	}},
	"homesZoneCut": {bound: 1, long: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		f.cutZone(f.get(home).member.Zone(), 40*time.Second, false)
	}},
	"homesZoneCutStoreBackFirst": {bound: 1, long: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		z := f.get(home).member.Zone()
		f.net.SetPartition(func(a, b bulrushlug.Member) bool { return (a.Zone() == z) != (b.Zone() == z) })
		f.shutStore(func(m bulrushlug.Member) bool { return m.Zone() == z })
		time.Sleep(40 * time.Second)
		f.shutStore(func(bulrushlug.Member) bool { return false })
		time.Sleep(3 * time.Second)
		f.net.SetPartition(nil)
	}},
	"leavesWhileCut": {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.list.SetLag(0)
		f.list.Leave(home)
		f.cutZone(f.get(home).member.Zone(), 20*time.Second, false)
	}},
	"homesZoneCutWithStore": {bound: 1, long: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		f.cutZone(f.get(home).member.Zone(), 40*time.Second, true)
	}},
	"storeOut": {bound: bounds.InRateRefusals, long: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.table.SetOutage(true)
		time.Sleep(40 * time.Second)
		f.table.SetOutage(false)
	}},
	"storeOutAndHomeKilled": {bound: 1, long: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.table.SetOutage(true)
		f.kill(home)
		f.list.Remove(home)
		time.Sleep(40 * time.Second)
		f.table.SetOutage(false)
	}},
}

// pause stops a process for d: what it sends is lost, what it gets is held, and the store is out of its reach.
func (f *virtualFleet) pause(n string, d time.Duration) {
	p := f.get(n)
	f.setDown(n, true)
	defer f.setDown(n, false)
	f.net.SetPaused(p.member.Address(), true)
	p.storeAccess.shut.Store(true)
	time.Sleep(d)
	p.storeAccess.shut.Store(false)
	f.net.SetPaused(p.member.Address(), false)
}

// cutZone cuts zone z off for d; the store is on its side if withStore is true.
func (f *virtualFleet) cutZone(z string, d time.Duration, withStore bool) {
	f.net.SetPartition(func(a, b bulrushlug.Member) bool { return (a.Zone() == z) != (b.Zone() == z) })
	f.shutStore(func(m bulrushlug.Member) bool { return (m.Zone() == z) != withStore })
	time.Sleep(d)
	f.net.SetPartition(nil)
	f.shutStore(func(bulrushlug.Member) bool { return false })
}

// shutStore puts the store out of the reach of the processes for which cut returns true, and of no others.
func (f *virtualFleet) shutStore(cut func(m bulrushlug.Member) bool) {
	for _, p := range f.all() {
		p.storeAccess.shut.Store(cut(p.member))
	}
}

func TestRates(t *testing.T) {
	orgs := map[string]traffic{
		"large":  {rate: 40, burst: 40, load: 0.8, skew: true},
		"medium": {rate: 10, burst: 10, load: 0.8},
		"small":  {rate: 1, burst: 5, load: 0.5},
		"flood":  {rate: 10, burst: 10, load: 10},
	}
	for name, x := range rateFaults {
		for _, victim := range []string{"large", "flood"} {
			t.Run(name+"/"+victim, func(t *testing.T) {
				bubble(t, func(t *testing.T) { rateTrial(t, orgs, victim, x.bound, x.long, x.fault) })
			})
		}
	}
}

func rateTrial(t *testing.T, orgs map[string]traffic, victim string, bound float64, long time.Duration, fault func(*virtualFleet, string)) {
	f := newVirtualFleet(t, 3, 0, 3, 3)
	defer f.close()
	time.Sleep(5 * time.Second)
	for n, x := range orgs {
		if _, err := f.propose(0, org(n, x.rate, x.burst)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(40 * time.Second)
	r := newRateRun(f, 5)
	var g sync.WaitGroup
	for n, x := range orgs {
		g.Go(func() { r.drive(n, x, long) })
	}
	time.Sleep(10 * time.Second)
	fault(f, f.home(victim))
	g.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, x := range orgs {
		share := float64(r.wrong[n]) / float64(max(1, r.inside[n]))
		if over := r.check(n, x); over > 1e-6 {
			t.Errorf("%s: %.3f admissions over rate and burst", n, over)
		}
		if p := r.passed[n]; p > granted(r.grants[n]) {
			t.Errorf("%s: %d requests passed on %d grants", n, p, granted(r.grants[n]))
		}
		if n == victim && x.load <= 1 {
			measure(t, "refused inside the rate of the organisation whose home is hit, share", t.Name()[len("TestRates/"):], share)
		}
		if x.load <= 1 && share > bound {
			t.Errorf("%s: %.4f of the requests inside the rate refused, bound %.4f", n, share, bound)
		}
		t.Logf("%-7s inside %5d refused %4d (%.4f) passed %5d", n, r.inside[n], r.wrong[n], share, r.passed[n])
	}
}
