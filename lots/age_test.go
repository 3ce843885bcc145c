package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// age returns the age of lot i for VM n.
func (k *cluster) age(n, i string) time.Duration {
	k.mu.Lock()
	m := k.vms[n].manager
	k.mu.Unlock()
	return time.Since(m.receivedAt(i))
}

// TestAgeAfterRestarts guards against a lot that is given up or dropped early as a process takes it for older than it is, and
// against one that a restart makes young for ever although another process knows how old it is.
func TestAgeAfterRestarts(t *testing.T) {
	const (
		down  = 20 * time.Second
		close = 2 * time.Second // Replicas tell each other the age at every verification.
	)
	restart := func(k *cluster, l ...string) {
		disks := map[string]*memDisk{}
		for _, n := range l {
			disks[n] = k.kill(n)
		}
		time.Sleep(down)
		for _, n := range l {
			k.start(n, disks[n])
		}
	}
	for name, x := range map[string]struct {
		faults func(k *cluster)
		lost   time.Duration // Most of the age that is not known any more: the time since the last write and that without a process.
	}{
		"no restart":                {faults: func(*cluster) {}},
		"a replica":                 {faults: func(k *cluster) { restart(k, k.replica("lot")) }},
		"the primary":               {faults: func(k *cluster) { restart(k, k.primary("lot")) }},
		"a primary that comes back": {faults: func(k *cluster) { n := k.primary("lot"); k.start(n, k.kill(n)) }},
		"a replica that comes back": {faults: func(k *cluster) { n := k.replica("lot"); k.start(n, k.kill(n)) }},
		"one after the other": {faults: func(k *cluster) {
			restart(k, "d0")
			time.Sleep(down)
			restart(k, "d1")
			time.Sleep(down)
			restart(k, "d2")
		}},
		"all at once": {faults: func(k *cluster) { restart(k, "d0", "d1", "d2") }, lost: down + 30*time.Second},
		"all at once, three times": {faults: func(k *cluster) {
			for range 3 {
				restart(k, "d0", "d1", "d2")
				time.Sleep(5 * time.Second)
			}
		}, lost: 3*down + 3*5*time.Second + 30*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 3, 2)
				k.mu.Lock()
				k.undone["lot/1"] = true
				k.mu.Unlock()
				begun := time.Now()
				k.submit("lot", 3)
				time.Sleep(30 * time.Second)
				x.faults(k)
				time.Sleep(recoveryTime)
				whole := time.Since(begun)
				for n, v := range k.vms {
					if v.manager.receivedAt("lot").IsZero() {
						continue
					}
					if a := k.age(n, "lot"); a > whole || a < whole-x.lost-close {
						t.Errorf("for %s the lot is %v old after %v, of which %v may be unknown", n, a, whole, x.lost)
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// replica returns a VM with a replica of lot i that is not its primary.
func (k *cluster) replica(i string) string {
	p := k.primary(i)
	for n, v := range k.vms {
		if n != p && !v.manager.receivedAt(i).IsZero() {
			return n
		}
	}
	k.t.Fatalf("no VM has a replica of lot %s", i)
	return ""
}

// TestAgeOfDraft guards against a lot that takes over the age of a draft with the same identifier which another organisation
// submitted earlier, and which was not accepted.
func TestAgeOfDraft(t *testing.T) {
	for name, x := range map[string]struct {
		organisation string
		want         time.Duration
	}{
		"the same organisation, so the same lot": {organisation: "o", want: time.Minute},
		"another organisation":                   {organisation: "p", want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", memtxn.New(), "vm/", time.Second, log.NewNopLogger())
				k := New(newDisk("r"), nil, memtxn.New(), "lot/", p, log.NewNopLogger())
				for i, o := range []string{"o", x.organisation} {
					l := bulrushlug.NewLot("lot", o, "r", "h", time.Now().Add(-time.Second), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
					u := bulrushlug.NewLotUpdate("lot", firstEpoch, []string{[]string{"a", "b"}[i], "r"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false)
					if s, err := k.Append(u.WithReceivedAt(l.ReceivedAt())); err != nil || !s.OK() {
						t.Fatal(s, err)
					}
					if i == 0 {
						time.Sleep(time.Minute - time.Second)
					}
				}
				if a := time.Since(k.receivedAt("lot")); a != x.want {
					t.Errorf("the lot is %v old", a)
				}
			})
		})
	}
}
