package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/bounds"
	"bulrushlug.dev/bulrushlug/rank"
)

// configMonitor samples the configuration of every process ten times a second.
type configMonitor struct {
	f                     *virtualFleet
	revokedAt             time.Time // Zero until the revocation is accepted.
	revisions             map[*process]uint64
	servedAfterRevocation map[string]time.Duration // Latest time after the revocation at which a process accepted the key, by VM.
}

func (w *configMonitor) run(c context.Context, t *testing.T) {
	for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
		w.f.mu.Lock()
		for n, p := range w.f.nodes {
			w.check(t, n, p)
		}
		w.f.mu.Unlock()
	}
}

// check records how long process p accepts the revoked key, and fails the test if its revision decreases.
func (w *configMonitor) check(t *testing.T, n string, p *process) {
	s := p.control.State()
	f := s.Config()
	if f.Revision() < w.revisions[p] {
		t.Errorf("revision of %s decreased from %d to %d", n, w.revisions[p], f.Revision())
	}
	w.revisions[p] = f.Revision()
	if _, _, ok := f.KeyOwner(bulrushlug.HashKey("key-zvonik")); ok && s.Fresh() && !w.revokedAt.IsZero() && !w.f.unreachable[n] {
		w.servedAfterRevocation[n] = time.Since(w.revokedAt)
	}
}

// configFaults are the faults injected around a change of the configuration, by subtest name.
var configFaults = map[string]struct {
	before func(f *virtualFleet) // Called before the change is proposed.
	after  func(f *virtualFleet) // Called once the change is accepted.
	cut    bool                  // A part of the fleet is cut off, so that the change can't reach it in time.
}{
	"none":         {},
	"lostResponse": {before: func(f *virtualFleet) { f.store.DropResponses(2) }},
	"slowStore":    {before: func(f *virtualFleet) { f.store.SetDelay(300 * time.Millisecond) }},
	"outageAfter": {cut: true, after: func(f *virtualFleet) {
		f.store.SetOutage(true)
		time.Sleep(20 * time.Second)
		f.store.SetOutage(false)
	}},
	"zoneCut": {cut: true, before: func(f *virtualFleet) { go f.cutZone("z01", 30*time.Second, false) }},
	"zoneCutAndStoreOut": {cut: true, before: func(f *virtualFleet) { go f.cutZone("z01", 30*time.Second, false) }, after: func(f *virtualFleet) {
		f.store.SetOutage(true)
		time.Sleep(10 * time.Second)
		f.store.SetOutage(false)
	}},
	"restartInOutage": {cut: true, after: func(f *virtualFleet) {
		f.store.SetOutage(true)
		n := f.order[4]
		f.kill(n)
		time.Sleep(time.Second)
		f.start(f.get(n).member)
		time.Sleep(10 * time.Second)
		if s := f.get(n).control.State(); !s.Fresh() || s.Config().Revision() == 0 {
			f.t.Errorf("%s did not pull the configuration from its peers", n)
		}
		f.store.SetOutage(false)
	}},
	"rootsKilled": {before: func(f *virtualFleet) {
		for _, n := range roots(f) {
			f.kill(n)
		}
	}},
	"processCutOff": {cut: true, before: func(f *virtualFleet) {
		n := f.order[5]
		f.net.SetPartition(func(a, b bulrushlug.Member) bool { return a.Name() == n || b.Name() == n })
		f.get(n).storeAccess.blocked.Store(true)
	}, after: func(f *virtualFleet) {
		time.Sleep(10 * time.Second)
		if f.get(f.order[5]).control.State().Fresh() {
			f.t.Error("a process that is cut off still considers its configuration fresh")
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

// roots returns the two roots of each zone, which poll the key-value service.
func roots(f *virtualFleet) (l []string) {
	zones := map[string][]string{}
	for _, n := range f.order {
		z := f.get(n).member.Zone()
		zones[z] = append(zones[z], n)
	}
	for z, names := range zones {
		l = append(l, rank.Order(z, names)[:2]...)
	}
	return l
}

// TestWithdrawnKey checks that under each fault no process accepts a key for longer than the bound after its
// revocation, and that the change reaches all processes in time unless a part of the fleet is cut off.
func TestWithdrawnKey(t *testing.T) {
	for name, x := range configFaults {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) { runRevocationTrial(t, x.cut, x.before, x.after) })
		})
	}
}

// runRevocationTrial revokes a key between the faults before and after.
func runRevocationTrial(t *testing.T, cut bool, before, after func(f *virtualFleet)) {
	f := newVirtualFleet(t, 11, 0, 3, 5)
	defer f.close()
	time.Sleep(6 * time.Second)
	o := org("zvonik", 10, 5)
	if _, err := f.propose(0, o); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	w := &configMonitor{f: f, revisions: map[*process]uint64{}, servedAfterRevocation: map[string]time.Duration{}}
	c, stop := context.WithCancel(context.Background())
	defer stop()
	go w.run(c, t)
	if before != nil {
		before(f)
	}
	proposer := 3
	for f.isUnreachable(f.order[proposer]) {
		proposer++
	}
	at := time.Now()
	n, err := f.propose(proposer, o.WithKey(bulrushlug.NewKey("k", bulrushlug.HashKey("key-zvonik"), true)))
	if err != nil {
		t.Fatal(err)
	}
	w.f.mu.Lock()
	w.revokedAt = time.Now()
	w.f.mu.Unlock()
	if after != nil {
		after(f)
	}
	f.waitFor(n, 60*time.Second)
	t.Logf("applied by all processes after %v", time.Since(at))
	if d := time.Since(at); !cut && d > bounds.MaxConfigPropagationTime {
		t.Errorf("applied by all processes only after %v", d)
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for p, d := range w.servedAfterRevocation {
		if d > bounds.MaxKeyRevocationTime {
			t.Errorf("%s accepted the revoked key for %v", p, d)
		}
	}
}

// waitFor waits until all reachable processes have revision n, and fails the test after d.
func (f *virtualFleet) waitFor(n uint64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, x := range f.order {
			ok = ok && (f.isUnreachable(x) || f.get(x).control.State().Config().Revision() >= n)
		}
		if ok {
			return
		}
	}
	f.t.Errorf("revision %d has not reached all processes after %v", n, d)
}

// TestConcurrentChanges checks that changes proposed concurrently, some with lost responses, get distinct revisions and
// that no accepted one is lost.
func TestConcurrentChanges(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newVirtualFleet(t, 13, 0, 3, 3)
		defer f.close()
		time.Sleep(6 * time.Second)
		if _, err := f.propose(0, org("zvonik", 10, 5)); err != nil {
			t.Fatal(err)
		}
		f.store.DropResponses(6)
		accepted := map[string]uint64{}
		var mu sync.Mutex
		var g sync.WaitGroup
		for i := range 9 {
			for k := range 4 {
				g.Go(func() {
					id := fmt.Sprintf("key-%d-%d", i, k)
					n, err := f.node(i).control.ConfigLog().Propose(context.Background(), func(x *bulrushlug.Config) (bulrushlug.Change, error) {
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
					t.Errorf("%s is missing the accepted key %s", p.member.Name(), id)
				}
			}
		}
		t.Logf("%d of 36 changes accepted", len(accepted))
	})
}

// TestWriteInMinorityZone checks that a change written while only one of three zones reaches the key-value service is
// reported as uncertain, and that the majority goes on serving.
func TestWriteInMinorityZone(t *testing.T) {
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
			t.Errorf("change written in a minority zone: accepted as revision %d, error %v", n, err)
		}
		if !f.node(0).control.State().Fresh() {
			t.Error("configuration is not fresh in the majority of the zones")
		}
		f.waitFor(n, 60*time.Second)
	})
}
