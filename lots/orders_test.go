package lots

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug/codec"
)

// disturbance is something that happens to a VM while the replicas of lots change.
type disturbance struct {
	vm   string
	what string // "kill", "isolate", "partition" or "wipe", a loss of power of all VMs with which the disk of vm is lost; empty for nothing.
	at   time.Duration
}

func (d disturbance) String() string {
	if d.what == "" {
		return "nothing"
	}
	return fmt.Sprintf("%s %s at %v", d.what, d.vm, d.at)
}

// disturbanceTime is longer than the silence after which a VM counts as unavailable.
const disturbanceTime = 1700 * time.Millisecond

// run makes d happen in k and undoes it later.
func (d disturbance) run(k *cluster) {
	time.Sleep(d.at)
	k.mu.Lock()
	alive := k.vms[d.vm] != nil && k.vms[d.vm].alive
	k.mu.Unlock()
	switch d.what {
	case "wipe":
		k.powerOff([]string{d.vm}, same(disturbanceTime))
	case "kill":
		if !alive {
			return
		}
		x := k.kill(d.vm)
		time.Sleep(disturbanceTime)
		k.start(d.vm, x)
	case "isolate":
		k.setIsolated(d.vm, true)
		time.Sleep(disturbanceTime)
		k.setIsolated(d.vm, false)
	case "partition":
		k.setPartitioned(d.vm, true)
		time.Sleep(disturbanceTime)
		k.setPartitioned(d.vm, false)
	}
}

// setPartitioned sets whether VM n reaches neither other VMs nor the key-value service.
func (k *cluster) setPartitioned(n string, v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.partitioned[n] = v
}

// disturbances returns all that may happen to the given VMs, each at one of the given times.
func disturbances(vms []string, times []time.Duration) (l []disturbance) {
	for _, v := range vms {
		for _, w := range []string{"kill", "isolate", "partition"} {
			for _, t := range times {
				l = append(l, disturbance{v, w, t})
			}
		}
	}
	return l
}

// orders returns every order of at most two disturbances of different VMs.
func orders(vms []string) (l [][2]disturbance) {
	first := disturbances(vms, []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond})
	second := disturbances(vms, []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 2 * time.Second})
	for _, a := range first {
		l = append(l, [2]disturbance{a})
		for _, b := range second {
			if a.vm != b.vm {
				l = append(l, [2]disturbance{a, b})
			}
		}
	}
	return l
}

// wipes returns every order of a loss of power with a lost disk and at most one other disturbance of another VM.
func wipes(vms []string) (l [][2]disturbance) {
	times := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 1600 * time.Millisecond}
	for _, v := range vms {
		for _, t := range times {
			a := disturbance{v, "wipe", t}
			l = append(l, [2]disturbance{a})
			for _, b := range disturbances(vms, []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}) {
				if b.vm != v {
					l = append(l, [2]disturbance{a, b})
				}
			}
		}
	}
	return l
}

// changes are the changes of replicas that are disturbed. VM d0 is the one that they are about.
var changes = map[string]struct {
	retire bool // Operators empty d0.
	kill   bool // d0 is killed, so that others take its lots over.
	full   bool // The disk of d0 is full for some time, so that others take its open lots over.
}{
	"a retirement":                {retire: true},
	"a takeover":                  {kill: true},
	"a retirement and a takeover": {retire: true, kill: true},
	"a disk that fails":           {full: true},
}

// TestOrders disturbs changes of replicas in every order of at most two disturbances, one of which may be a loss of power of all
// VMs with which one disk is lost, with writes of the record that are fast or slow. What was acknowledged must be readable once all VMs are back, from one primary a lot.
//
// It plays each 23rd order, and all of them with LOTS_ORDERS=1.
func TestOrders(t *testing.T) {
	stride := 23
	if n, err := strconv.Atoi(os.Getenv("LOTS_ORDERS")); err == nil {
		stride = n
	}
	for name, x := range changes {
		for _, delay := range []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", writes take ", delay), func(t *testing.T) {
				t.Parallel()
				vms := []string{"d1", "d2", "d3"}
				l := slices.Concat(orders(vms), wipes(vms))
				for n := int(delay/time.Millisecond) % stride; n < len(l); n += stride {
					t.Run(fmt.Sprint(l[n][0], ", ", l[n][1]), func(t *testing.T) { runOrder(t, l[n], x.retire, x.kill, x.full, delay) })
				}
			})
		}
	}
}

func runOrder(t *testing.T, l [2]disturbance, retire, kill, full bool, delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := context.WithCancel(t.Context())
		k := newCluster(t, c, 4, 2)
		const lots = 8
		items := 3
		if full {
			items = 60 // They are left while the disk fails.
		}
		for i := range lots {
			k.submit(fmt.Sprint("lot-", i), items)
		}
		time.Sleep(2 * time.Second)
		if !full {
			k.checkComplete()
		}
		k.setWriteDelay(delay)
		k.setRetiring("d0", retire)
		if kill {
			go disturbance{"d0", "kill", 0}.run(k)
		}
		if full {
			k.setDisk("disk-0", true, 0)
			time.Sleep(replicaPatience)
			time.AfterFunc(2*disturbanceTime, func() { k.setDisk("disk-0", false, 0) })
		}
		for _, d := range l {
			go d.run(k)
		}
		time.Sleep(2*time.Second + 2*disturbanceTime)
		emptied := false
		for range 100 {
			if k.vms["d0"].manager.LotCount() == 0 {
				emptied = true
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		switch {
		case retire && !emptied:
			t.Errorf("%d lots are still on the VM that is to be emptied", k.vms["d0"].manager.LotCount())
		case retire:
			k.kill("d0")
		}
		k.setWriteDelay(0)
		time.Sleep(recoveryTime)
		k.checkComplete()
		for i := range lots {
			k.checkPrimary(fmt.Sprint("lot-", i))
		}
		stop()
		synctest.Wait()
	})
}

// checkPrimary checks that lot i has one primary in the epoch of its record, and at most one in each earlier one. A replaced
// primary that has not heard of it yet answers nothing, as its replicas do not follow its epoch.
func (k *cluster) checkPrimary(i string) {
	k.t.Helper()
	x, err := k.store.Get(k.c, "lot/"+i)
	if err != nil {
		k.t.Fatal(err)
	}
	r, err := codec.DecodeLotRecord(x.Value())
	if err != nil {
		k.t.Fatal(err)
	}
	n := map[uint64]int{r.Epoch(): 0}
	for _, v := range k.vms {
		if v.alive {
			v.manager.withLot(i, func(l *lot) {
				if l.serving(v.manager.disk) {
					n[l.epoch]++
				}
			})
		}
	}
	for e, m := range n {
		if m > 1 || e > r.Epoch() || e == r.Epoch() && m != 1 {
			k.t.Errorf("lot %s has %d primaries in epoch %d, the record has epoch %d", i, m, e, r.Epoch())
		}
	}
}
