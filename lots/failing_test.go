package lots

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestReplicaFails guards against a lot that nobody may run: one of its replicas can't store what it is sent, and its
// process goes on.
func TestReplicaFails(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		full          int           // Replicas whose disks are full, the last ones.
		lasts         time.Duration // For how long.
		replaced      bool          // Another replica takes the place of the first of them.
	}{
		"one of two":                        {vms: 3, replicas: 2, full: 1, lasts: time.Hour, replaced: true},
		"one of three":                      {vms: 4, replicas: 3, full: 1, lasts: time.Hour, replaced: true},
		"two of three":                      {vms: 6, replicas: 3, full: 2, lasts: time.Hour, replaced: true},
		"for a moment":                      {vms: 3, replicas: 2, full: 1, lasts: time.Second},
		"no other disk, and it comes again": {vms: 2, replicas: 2, full: 1, lasts: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 20)
				time.Sleep(time.Second)
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				setFull := func(v bool) {
					for _, o := range k.vms {
						for _, d := range l[len(l)-x.full:] {
							if o.disk.name == d {
								o.disk.mu.Lock()
								o.disk.full = v
								o.disk.mu.Unlock()
							}
						}
					}
				}
				setFull(true)
				time.Sleep(min(x.lasts, 2*recoveryTime))
				setFull(x.lasts > recoveryTime)
				time.Sleep(recoveryTime)
				k.checkComplete()
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) {
					if got := fmt.Sprint(o.replicas) != fmt.Sprint(l); got != x.replaced {
						t.Errorf("replicas %v, %v before", o.replicas, l)
					}
				})
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestReplicaFailsAgain guards against a lot that nobody may run: the disk that takes the place of another one can't store it,
// or a disk of it fails for longer than it takes until it may be chosen again.
func TestReplicaFailsAgain(t *testing.T) {
	for name, f := range map[string]func(k *cluster, l []string){
		"the chosen disk is full as well": func(k *cluster, l []string) {
			for _, v := range k.vms {
				if d := v.disk.name; d != l[0] && d != "disk-5" {
					k.setDisk(d, true, 0)
				}
			}
			if l[0] == "disk-5" {
				k.setDisk("disk-4", false, 0)
			}
			time.Sleep(time.Minute)
		},
		"the chosen disk never answers": func(k *cluster, l []string) {
			for _, v := range k.vms {
				if d := v.disk.name; d != l[0] && d != "disk-5" {
					k.setDisk(d, false, time.Hour)
				}
			}
			if l[0] == "disk-5" {
				k.setDisk("disk-4", false, 0)
			}
			time.Sleep(2 * time.Minute)
		},
		"another disk comes after minutes": func(k *cluster, l []string) {
			for _, v := range k.vms {
				if d := v.disk.name; d != l[0] {
					k.setDisk(d, true, 0)
				}
			}
			time.Sleep(3 * time.Minute)
			k.start("d6", newDisk("disk-6"))
			time.Sleep(recoveryTime)
		},
		"a disk that failed is chosen again, and fails again": func(k *cluster, l []string) {
			k.setDisk(l[1], true, 0)
			time.Sleep(10 * time.Second)
			for _, v := range k.vms {
				if d := v.disk.name; d != l[0] && d != l[1] {
					k.setDisk(d, true, 0)
				}
			}
			k.setDisk(l[1], false, 0)
			time.Sleep(2 * time.Minute)
			k.submit("another", 1)
			k.setDisk(l[1], true, 0)
			k.start("d6", newDisk("disk-6"))
			time.Sleep(recoveryTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 6, 2)
				k.submit("lot", 20)
				time.Sleep(time.Second)
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				f(k, l)
				time.Sleep(recoveryTime)
				k.checkComplete()
				for _, v := range k.vms {
					k.setDisk(v.disk.name, false, 0)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
