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

// referenceBucket is a token bucket used as the test oracle; it shares no code with the implementation.
type referenceBucket struct {
	rate, burst, level float64
	last               time.Time
}

// refill adds the tokens accrued until t, up to the burst.
func (b *referenceBucket) refill(t time.Time) {
	b.level = math.Min(b.burst, b.level+b.rate*t.Sub(b.last).Seconds())
	b.last = t
}

// rateTrialRun sends requests of several organisations through all entries, and records the grants of the homes and the
// decisions that callers see.
type rateTrialRun struct {
	f              *virtualFleet
	random         *rand.Rand
	mu             sync.Mutex
	limits         map[string]*referenceBucket // Test oracle by organisation.
	grants         map[string][]grant
	withinRate     map[string]int // Requests within the rate, by organisation.
	wronglyRefused map[string]int // Requests within the rate that were rejected.
	admitted       map[string]int
}

// grant is a number of admissions that a home granted at one time.
type grant struct {
	at time.Time
	n  uint32
}

// traffic describes the requests of one organisation.
type traffic struct {
	rate  float64
	burst uint32
	load  float64 // Request rate relative to the limit.
	skew  bool    // Nine tenths of the requests go through one entry, in addition to its share of the rest.
}

// newRateTrialRun records all grants sent on the network of f.
func newRateTrialRun(f *virtualFleet, seed uint64) *rateTrialRun {
	r := &rateTrialRun{f: f, random: rand.New(rand.NewPCG(seed, 7)), limits: map[string]*referenceBucket{}, grants: map[string][]grant{},
		withinRate: map[string]int{}, wronglyRefused: map[string]int{}, admitted: map[string]int{}}
	f.net.OnSend(func(_ bulrushlug.Member, m bulrushlug.Message) {
		if g := m.Grant(); g != nil && g.Count() > 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.grants[g.Organisation()] = append(r.grants[g.Organisation()], grant{at: time.Now(), n: g.Count()})
		}
	})
	return r
}

// drive sends the requests of organisation o for d with Poisson arrivals.
func (r *rateTrialRun) drive(o string, x traffic, d time.Duration) {
	r.mu.Lock()
	r.limits[o] = &referenceBucket{rate: x.rate, burst: float64(x.burst), level: float64(x.burst), last: time.Now()}
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
		if r.f.isUnreachable(p.member.Name()) {
			continue
		}
		in := r.takeWithinRate(o)
		g.Go(func() { r.take(o, p, in) })
	}
}

// takeWithinRate reports whether a request arriving now is within the rate of o, by the test oracle, and counts it if so.
func (r *rateTrialRun) takeWithinRate(o string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.limits[o]
	b.refill(time.Now())
	if b.level < 1 {
		return false
	}
	b.level--
	r.withinRate[o]++
	return true
}

// take asks the rate limiter of p to admit a request of o; in says whether it is within the rate.
func (r *rateTrialRun) take(o string, p *process, in bool) {
	err := p.control.Quota().Take(context.Background(), o)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.admitted[o]++
	case in:
		r.wronglyRefused[o]++
	}
}

// maxOverrun replays the grants of o against rate and burst, and returns the largest number of admissions beyond them
// at any time.
func (r *rateTrialRun) maxOverrun(o string, x traffic) float64 {
	l := r.grants[o]
	sort.SliceStable(l, func(i, j int) bool { return l[i].at.Before(l[j].at) })
	worst := 0.0
	if len(l) == 0 {
		return 0
	}
	b := &referenceBucket{rate: x.rate, burst: float64(x.burst), level: float64(x.burst), last: l[0].at}
	for _, g := range l {
		b.refill(g.at)
		b.level -= float64(g.n)
		worst = math.Max(worst, -b.level)
	}
	return worst
}

// totalGranted returns the sum of the grants.
func totalGranted(l []grant) (n int) {
	for _, g := range l {
		n += int(g.n)
	}
	return n
}

// rateFaults are the faults injected around the home of an organisation, by subtest name.
var rateFaults = map[string]struct {
	bound    float64       // Share of requests within the rate that may be rejected; 1 if it is only reported.
	duration time.Duration // Duration of the load.
	fault    func(f *virtualFleet, home string)
}{
	"none": {bound: bounds.MaxInRateRejectionShare, duration: 60 * time.Second, fault: func(*virtualFleet, string) {}},
	"homeKilled": {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.kill(home)
		f.list.Remove(home)
	}},
	"homeCrashed":    {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) { f.kill(home) }},
	"homePaused":     {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) { f.pause(home, 8*time.Second) }},
	"homePausedLong": {bound: 1, duration: 90 * time.Second, fault: func(f *virtualFleet, home string) { f.pause(home, 40*time.Second) }},
	"homeRestarted": {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.kill(home)
		time.Sleep(time.Second)
		f.start(f.get(home).member)
	}},
	"joinsAndLeaves": {bound: 1, duration: 120 * time.Second, fault: func(f *virtualFleet, home string) {
		f.list.SetLag(0)
		m := member(len(f.order), 3)
		f.list.Put(m)
		f.start(m)
		time.Sleep(40 * time.Second)
		f.list.MarkLeaving(home)
	}},
	"homesZoneCut": {bound: 1, duration: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		f.cutZone(f.get(home).member.Zone(), 40*time.Second, false)
	}},
	"homesZoneCutStoreBackFirst": {bound: 1, duration: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		z := f.get(home).member.Zone()
		f.net.SetPartition(func(a, b bulrushlug.Member) bool { return (a.Zone() == z) != (b.Zone() == z) })
		f.blockStore(func(m bulrushlug.Member) bool { return m.Zone() == z })
		time.Sleep(40 * time.Second)
		f.blockStore(func(bulrushlug.Member) bool { return false })
		time.Sleep(3 * time.Second)
		f.net.SetPartition(nil)
	}},
	"leavesWhileCut": {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.list.SetLag(0)
		f.list.MarkLeaving(home)
		f.cutZone(f.get(home).member.Zone(), 20*time.Second, false)
	}},
	"homesZoneCutWithStore": {bound: 1, duration: 90 * time.Second, fault: func(f *virtualFleet, home string) {
		f.cutZone(f.get(home).member.Zone(), 40*time.Second, true)
	}},
	"storeOut": {bound: bounds.MaxInRateRejectionShare, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.store.SetOutage(true)
		time.Sleep(40 * time.Second)
		f.store.SetOutage(false)
	}},
	"storeOutAndHomeKilled": {bound: 1, duration: 60 * time.Second, fault: func(f *virtualFleet, home string) {
		f.store.SetOutage(true)
		f.kill(home)
		f.list.Remove(home)
		time.Sleep(40 * time.Second)
		f.store.SetOutage(false)
	}},
}

// pause simulates a paused process n for d: its messages are dropped, messages to it are held and it can't reach the store.
func (f *virtualFleet) pause(n string, d time.Duration) {
	p := f.get(n)
	f.setUnreachable(n, true)
	defer f.setUnreachable(n, false)
	f.net.SetPaused(p.member.Address(), true)
	p.storeAccess.blocked.Store(true)
	time.Sleep(d)
	p.storeAccess.blocked.Store(false)
	f.net.SetPaused(p.member.Address(), false)
}

// cutZone partitions zone z from the others for d; the store stays reachable from z only if withStore is true, and from the
// others only if it is false.
func (f *virtualFleet) cutZone(z string, d time.Duration, withStore bool) {
	f.net.SetPartition(func(a, b bulrushlug.Member) bool { return (a.Zone() == z) != (b.Zone() == z) })
	f.blockStore(func(m bulrushlug.Member) bool { return (m.Zone() == z) != withStore })
	time.Sleep(d)
	f.net.SetPartition(nil)
	f.blockStore(func(bulrushlug.Member) bool { return false })
}

// blockStore makes the store unreachable for exactly the processes for which cut returns true.
func (f *virtualFleet) blockStore(cut func(m bulrushlug.Member) bool) {
	for _, p := range f.all() {
		p.storeAccess.blocked.Store(cut(p.member))
	}
}

// TestRates checks under each fault that the homes never grant more than rate and burst, that no request is admitted
// without a grant, and how many requests within the rate are rejected.
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
				bubble(t, func(t *testing.T) { runRateTrial(t, orgs, victim, x.bound, x.duration, x.fault) })
			})
		}
	}
}

// runRateTrial applies fault around the home of the organisation victim ten seconds after the load starts.
func runRateTrial(t *testing.T, orgs map[string]traffic, victim string, bound float64, duration time.Duration, fault func(*virtualFleet, string)) {
	f := newVirtualFleet(t, 3, 0, 3, 3)
	defer f.close()
	time.Sleep(5 * time.Second)
	for n, x := range orgs {
		if _, err := f.propose(0, org(n, x.rate, x.burst)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(40 * time.Second)
	r := newRateTrialRun(f, 5)
	var g sync.WaitGroup
	for n, x := range orgs {
		g.Go(func() { r.drive(n, x, duration) })
	}
	time.Sleep(10 * time.Second)
	fault(f, f.home(victim))
	g.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, x := range orgs {
		share := float64(r.wronglyRefused[n]) / float64(max(1, r.withinRate[n]))
		if over := r.maxOverrun(n, x); over > 1e-6 {
			t.Errorf("%s: %.3f admissions beyond rate and burst", n, over)
		}
		if p := r.admitted[n]; p > totalGranted(r.grants[n]) {
			t.Errorf("%s: %d requests admitted with %d granted admissions", n, p, totalGranted(r.grants[n]))
		}
		if n == victim && x.load <= 1 {
			reportMeasure(t, "rejected within the rate of the organisation whose home has the fault, share", t.Name()[len("TestRates/"):], share)
		}
		if x.load <= 1 && share > bound {
			t.Errorf("%s: %.4f of the requests within the rate rejected, bound %.4f", n, share, bound)
		}
		t.Logf("%-7s within rate %5d, of these rejected %4d (%.4f), admitted in total %5d", n, r.withinRate[n], r.wronglyRefused[n], share, r.admitted[n])
	}
}
