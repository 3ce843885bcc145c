package lots

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// finishTime is the time after the last fault by which callers may expect all items of accepted lots to be listed.
const finishTime = 18 * time.Second

// powerOff ends all processes at once, and starts each again after the time that down returns for its VM. The VMs in wiped
// come back with empty disks. It returns once all are back.
func (k *cluster) powerOff(wiped []string, down func(vm string) time.Duration) {
	k.mu.Lock()
	var l []string
	for n, v := range k.vms {
		if v.alive {
			l = append(l, n)
		}
	}
	k.mu.Unlock()
	slices.Sort(l)
	disks := map[string]*memDisk{}
	for _, n := range l {
		disks[n] = k.kill(n)
		if slices.Contains(wiped, n) {
			disks[n] = newDisk("disk-empty-" + n + "-" + strings.TrimPrefix(disks[n].name, "disk-"))
		}
	}
	done := make(chan struct{})
	for _, n := range l {
		go func() {
			time.Sleep(down(n))
			k.start(n, disks[n])
			done <- struct{}{}
		}()
	}
	for range l {
		<-done
	}
}

// same returns the same time for all VMs.
func same(d time.Duration) func(vm string) time.Duration {
	return func(string) time.Duration { return d }
}

// replicaVMs returns the VMs with the replicas of lot i, the primary's first.
func (k *cluster) replicaVMs(i string) (l []string) {
	var disks []string
	k.vms[k.primary(i)].manager.withLot(i, func(o *lot) { disks = slices.Clone(o.replicas) })
	for _, d := range disks {
		for n, v := range k.vms {
			if v.disk.name == d {
				l = append(l, n)
			}
		}
	}
	return l
}

// TestPowerLossWithWipedDisks ends all processes at the same moment, while as many disks as are tolerated are lost.
func TestPowerLossWithWipedDisks(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		wiped         func(r []string) []string // VMs whose disks are lost, of the lot's replicas r.
		before        func(k *cluster, r []string)
		down          func(r []string) func(vm string) time.Duration
	}{
		"the primary's disk":                 {vms: 3, replicas: 2, wiped: func(r []string) []string { return r[:1] }},
		"the replica's disk":                 {vms: 3, replicas: 2, wiped: func(r []string) []string { return r[1:] }},
		"no other disk, the primary's":       {vms: 2, replicas: 2, wiped: func(r []string) []string { return r[:1] }},
		"no other disk, the replica's":       {vms: 2, replicas: 2, wiped: func(r []string) []string { return r[1:] }},
		"two of three":                       {vms: 3, replicas: 3, wiped: func(r []string) []string { return r[:2] }},
		"two of twelve":                      {vms: 12, replicas: 3, wiped: func(r []string) []string { return r[:2] }},
		"the two later ones":                 {vms: 5, replicas: 3, wiped: func(r []string) []string { return r[1:] }},
		"the wiped ones are back first":      {vms: 5, replicas: 3, wiped: func(r []string) []string { return r[:2] }, down: lastBack(2)},
		"the wiped ones are back last":       {vms: 5, replicas: 3, wiped: func(r []string) []string { return r[:2] }, down: lastBack(0, 1)},
		"the one that has it is back last":   {vms: 3, replicas: 2, wiped: func(r []string) []string { return r[:1] }, down: lastBack(1)},
		"a takeover has begun":               {vms: 5, replicas: 3, wiped: func(r []string) []string { return r[1:] }, before: killAndWait(0, 1100*time.Millisecond)},
		"a takeover is over":                 {vms: 5, replicas: 3, wiped: func(r []string) []string { return r[1:] }, before: killAndWait(0, 5*time.Second)},
		"the service can't be reached after": {vms: 4, replicas: 2, wiped: func(r []string) []string { return r[:1] }, before: outage(6 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 30)
				time.Sleep(time.Second)
				if err := k.read("lot", 0); err != nil {
					t.Fatal(err)
				}
				r := k.replicaVMs("lot")
				down := same(time.Second)
				if x.down != nil {
					down = x.down(r)
				}
				if x.before != nil {
					x.before(k, r)
				}
				k.powerOff(x.wiped(r), down)
				time.Sleep(finishTime)
				k.checkComplete()
				k.checkPrimary("lot")
				stop()
				synctest.Wait()
			})
		})
	}
}

// lastBack returns the times after which VMs are back: a second, and four for the given replicas.
func lastBack(l ...int) func(r []string) func(vm string) time.Duration {
	return func(r []string) func(vm string) time.Duration {
		return func(vm string) time.Duration {
			if slices.Contains(l, slices.Index(r, vm)) {
				return 4 * time.Second
			}
			return time.Second
		}
	}
}

// killAndWait kills replica n, which starts again later, and waits for d.
func killAndWait(n int, d time.Duration) func(k *cluster, r []string) {
	return func(k *cluster, r []string) {
		x := k.kill(r[n])
		go func() {
			time.Sleep(d + 2*time.Second)
			k.start(r[n], x)
		}()
		time.Sleep(d)
	}
}

// outage makes the key-value service unreachable for d.
func outage(d time.Duration) func(k *cluster, r []string) {
	return func(k *cluster, _ []string) {
		k.store.SetOutage(true)
		go func() {
			time.Sleep(d)
			k.store.SetOutage(false)
		}()
	}
}

// TestFewDisks has as many usable disks as are needed or fewer, for a time or for good.
func TestFewDisks(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		happens       func(k *cluster, r []string)
		emptied       bool // The VMs that retire are emptied.
	}{
		"the replica's VM retires": {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.setRetiring(r[1], true) }},
		"the primary's VM retires": {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.setRetiring(r[0], true) }},
		"all VMs retire": {vms: 3, replicas: 2, happens: func(k *cluster, _ []string) {
			for n := range k.vms {
				k.setRetiring(n, true)
			}
		}},
		"a VM retires, the spare one is gone": {vms: 3, replicas: 2, happens: func(k *cluster, r []string) {
			k.kill(k.spareVM(r))
			time.Sleep(2 * time.Second)
			k.setRetiring(r[1], true)
		}},
		"the primary's VM retires, the spare one is gone": {vms: 4, replicas: 3, happens: func(k *cluster, r []string) {
			k.kill(k.spareVM(r))
			time.Sleep(2 * time.Second)
			k.setRetiring(r[0], true)
		}},
		"a VM retires, the primary is gone": {vms: 3, replicas: 2, happens: func(k *cluster, r []string) {
			k.setRetiring(r[1], true)
			k.kill(r[0])
		}},
		"two VMs retire, the third replica is gone": {vms: 5, replicas: 3, happens: func(k *cluster, r []string) {
			k.kill(k.spareVM(r))
			k.setRetiring(r[0], true)
			k.setRetiring(r[1], true)
			k.kill(r[2])
		}},
		"a VM retires, and another disk comes later": {vms: 2, replicas: 2, emptied: true, happens: func(k *cluster, r []string) {
			k.setRetiring(r[0], true)
			time.Sleep(8 * time.Second)
			k.start("d2", newDisk("disk-2"))
		}},
		"the replica's disk moves to another VM":         {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.moveDisk(r[1], "d9") }},
		"the primary's disk moves to another VM":         {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.moveDisk(r[0], "d9") }},
		"a disk moves to a VM sorted before":             {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.moveDisk(r[0], "d-0") }},
		"the replica is gone for good":                   {vms: 3, replicas: 2, happens: func(k *cluster, r []string) { k.kill(r[1]) }},
		"the primary is gone for good":                   {vms: 3, replicas: 2, happens: func(k *cluster, r []string) { k.kill(r[0]) }},
		"two of five are gone for good":                  {vms: 5, replicas: 3, happens: func(k *cluster, r []string) { k.kill(r[0]); k.kill(r[2]) }},
		"the only other disk comes empty":                {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.comeBackEmpty(r[1], 6*time.Second) }},
		"the only other disk comes empty, the primary's": {vms: 2, replicas: 2, happens: func(k *cluster, r []string) { k.comeBackEmpty(r[0], 6*time.Second) }},
		"two of three come empty": {vms: 3, replicas: 3, happens: func(k *cluster, r []string) {
			go k.comeBackEmpty(r[0], 6*time.Second)
			k.comeBackEmpty(r[1], 9*time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 30)
				time.Sleep(time.Second)
				if err := k.read("lot", 0); err != nil {
					t.Fatal(err)
				}
				x.happens(k, k.replicaVMs("lot"))
				time.Sleep(finishTime)
				k.checkComplete()
				for n, v := range k.vms {
					if x.emptied && k.retiring[n] && v.manager.LotCount() > 0 {
						t.Errorf("%d lots are still on %s", v.manager.LotCount(), n)
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// spareVM returns a VM that is not among r.
func (k *cluster) spareVM(r []string) string {
	for n := range k.vms {
		if !slices.Contains(r, n) {
			return n
		}
	}
	k.t.Fatal("no VM without a replica")
	return ""
}

// comeBackEmpty ends the process on VM n and starts one with an empty disk after d.
func (k *cluster) comeBackEmpty(n string, d time.Duration) {
	k.kill(n)
	time.Sleep(d)
	k.start(n, newDisk(fmt.Sprint("disk-empty-", n)))
}

// moveDisk ends the process on VM n and starts one with its disk on the VM to.
func (k *cluster) moveDisk(n, to string) {
	d := k.kill(n)
	time.Sleep(time.Second)
	k.start(to, d)
}

// wipeSome is a loss of power in which as many disks as are tolerated are lost.
func wipeSome(k *cluster, r *rand.Rand) {
	time.Sleep(5 * time.Second) // Keeps disk losses within the tolerance.
	var wiped []string
	for range k.replicationFactor - 1 {
		wiped = append(wiped, randomVM(k, r))
	}
	spread := time.Duration(1 + r.IntN(3000))
	late := map[string]time.Duration{}
	k.mu.Lock()
	var l []string
	for n := range k.vms {
		l = append(l, n)
	}
	k.mu.Unlock()
	slices.Sort(l)
	for _, n := range l {
		late[n] = time.Duration(r.IntN(int(spread))) * time.Millisecond
	}
	k.powerOff(wiped, func(vm string) time.Duration { return late[vm] })
	time.Sleep(5 * time.Second)
}
