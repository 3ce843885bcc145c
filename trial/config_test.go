package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/bounds"
)

// monitor looks at every process ten times a second.
type monitor struct {
	f         *virtualFleet
	withdrawn time.Time // Zero until the withdrawal is accepted.
	revisions map[*process]uint64
	late      map[string]time.Duration // Longest time for which a process served by the withdrawn key.
}

func (w *monitor) run(c context.Context, t *testing.T) {
	for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
		w.f.mu.Lock()
		for n, p := range w.f.nodes {
			w.look(t, n, p)
		}
		w.f.mu.Unlock()
	}
}

func (w *monitor) look(t *testing.T, n string, p *process) {
	s := p.control.State()
	f := s.Config()
	if f.Revision() < w.revisions[p] {
		t.Errorf("%s went back from revision %d to %d", n, w.revisions[p], f.Revision())
	}
	w.revisions[p] = f.Revision()
	if _, _, ok := f.Owner(bulrushlug.HashKey("key-zvonik")); ok && s.Fresh() && !w.withdrawn.IsZero() && !w.f.down[n] {
		w.late[n] = time.Since(w.withdrawn)
	}
}

var configFaults = map[string]struct {
	before func(f *virtualFleet) // Starts before the change is proposed.
	after  func(f *virtualFleet) // Starts once the change is accepted.
	cut    bool                  // A part of the fleet can't hear of the change in time.
}{
	"none":       {},
	"lostAnswer": {before: func(f *virtualFleet) { f.table.DropResponses(2) }},
	"slowStore":  {before: func(f *virtualFleet) { f.table.SetDelay(300 * time.Millisecond) }},
	"outageAfter": {cut: true, after: func(f *virtualFleet) {
		f.table.SetOutage(true)
		time.Sleep(20 * time.Second)
		f.table.SetOutage(false)
	}},
	"zoneCut": {cut: true, before: func(f *virtualFleet) { go f.cutZone("z01", 30*time.Second, false) }},
	"zoneCutAndStoreOut": {cut: true, before: func(f *virtualFleet) { go f.cutZone("z01", 30*time.Second, false) }, after: func(f *virtualFleet) {
		f.table.SetOutage(true)
		time.Sleep(10 * time.Second)
		f.table.SetOutage(false)
	}},
	"restartInOutage": {cut: true, after: func(f *virtualFleet) {
		f.table.SetOutage(true)
		n := f.order[4]
		f.kill(n)
		time.Sleep(time.Second)
		f.start(f.get(n).member)
		time.Sleep(10 * time.Second)
		if s := f.get(n).control.State(); !s.Fresh() || s.Config().Revision() == 0 {
			f.t.Errorf("%s did not get the configuration from its peers", n)
		}
		f.table.SetOutage(false)
	}},
	"rootsKilled": {before: func(f *virtualFleet) {
		for _, n := range f.order[:3] {
			f.kill(n)
		}
	}},
	"nodeAlone": {cut: true, before: func(f *virtualFleet) {
		n := f.order[5]
		f.net.SetPartition(func(a, b bulrushlug.Member) bool { return a.Name() == n || b.Name() == n })
		f.get(n).storeAccess.shut.Store(true)
	}, after: func(f *virtualFleet) {
		time.Sleep(10 * time.Second)
		if f.get(f.order[5]).control.State().Fresh() {
			f.t.Error("a process that is cut off still serves")
		}
		f.net.SetPartition(nil)
	}},
	"paused": {cut: true, before: func(f *virtualFleet) { go f.pause(f.order[7], 15*time.Second) }},
	"lossyNetwork": {before: func(f *virtualFleet) {
		var n int
		var mu sync.Mutex
		f.net.SetPartition(func(_, _ bulrushlug.Member) bool {
			mu.Lock()
			defer mu.Unlock()
			n++
			return n%5 == 0
		})
	}},
}

func TestWithdrawnKey(t *testing.T) {
	for name, x := range configFaults {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) { withdrawTrial(t, x.cut, x.before, x.after) })
		})
	}
}

func withdrawTrial(t *testing.T, cut bool, before, after func(f *virtualFleet)) {
	f := newVirtualFleet(t, 11, 0, 3, 5)
	defer f.close()
	time.Sleep(6 * time.Second)
	o := org("zvonik", 10, 5)
	if _, err := f.propose(0, o); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	w := &monitor{f: f, revisions: map[*process]uint64{}, late: map[string]time.Duration{}}
	c, stop := context.WithCancel(context.Background())
	defer stop()
	go w.run(c, t)
	if before != nil {
		before(f)
	}
	at := time.Now()
	n, err := f.propose(3, o.WithKey(bulrushlug.NewKey("k", bulrushlug.HashKey("key-zvonik"), true)))
	if err != nil {
		t.Fatal(err)
	}
	w.f.mu.Lock()
	w.withdrawn = time.Now()
	w.f.mu.Unlock()
	if after != nil {
		after(f)
	}
	f.waitFor(n, 60*time.Second)
	t.Logf("in force everywhere after %v", time.Since(at))
	if d := time.Since(at); !cut && d > bounds.MaxConfigPropagationTime {
		t.Errorf("in force everywhere only after %v", d)
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for p, d := range w.late {
		if d > bounds.MaxKeyRevocationTime {
			t.Errorf("%s served by the withdrawn key for %v", p, d)
		}
	}
}

// waitFor waits until all processes that callers reach have revision n.
func (f *virtualFleet) waitFor(n uint64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, x := range f.order {
			ok = ok && (f.isDown(x) || f.get(x).control.State().Config().Revision() >= n)
		}
		if ok {
			return
		}
	}
	f.t.Errorf("revision %d is not everywhere after %v", n, d)
}

func TestRacingOperators(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newVirtualFleet(t, 13, 0, 3, 3)
		defer f.close()
		time.Sleep(6 * time.Second)
		if _, err := f.propose(0, org("zvonik", 10, 5)); err != nil {
			t.Fatal(err)
		}
		f.table.DropResponses(6)
		accepted := map[string]uint64{}
		var mu sync.Mutex
		var g sync.WaitGroup
		for i := range 9 {
			for k := range 4 {
				g.Go(func() {
					id := fmt.Sprintf("key-%d-%d", i, k)
					n, err := f.node(i).control.Ledger().Propose(context.Background(), func(x *bulrushlug.Config) (bulrushlug.Change, error) {
						o, _ := x.Organisation("zvonik")
						return bulrushlug.NewChange(id, "test", o.WithKey(bulrushlug.NewKey(id, bulrushlug.HashKey(id), false))), nil
					})
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						accepted[id] = n
					}
				})
			}
		}
		g.Wait()
		time.Sleep(5 * time.Second)
		seen := map[uint64]bool{}
		for id, n := range accepted {
			if seen[n] {
				t.Errorf("two changes were accepted as revision %d", n)
			}
			seen[n] = true
			for _, p := range f.all() {
				o, _ := p.control.State().Config().Organisation("zvonik")
				if _, ok := o.Key(id); !ok {
					t.Errorf("%s lacks the accepted key %s", p.member.Name(), id)
				}
			}
		}
		t.Logf("%d of 36 changes accepted", len(accepted))
	})
}

func TestMinorityWriter(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newVirtualFleet(t, 17, 0, 3, 3)
		defer f.close()
		time.Sleep(6 * time.Second)
		o := org("zvonik", 10, 5)
		if _, err := f.propose(0, o); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		go f.cutZone("z01", 30*time.Second, true)
		time.Sleep(time.Second)
		w := o.WithKey(bulrushlug.NewKey("k", bulrushlug.HashKey("key-zvonik"), true))
		n, err := f.propose(1, w)
		if bulrushlug.KindOf(err) != bulrushlug.KindUncertain {
			t.Errorf("a change that most zones can't see was accepted as revision %d (%v)", n, err)
		}
		if !f.node(0).control.State().Fresh() {
			t.Error("the majority of the zones does not serve")
		}
		f.waitFor(n, 60*time.Second)
	})
}
