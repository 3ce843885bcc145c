package lots

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
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

// TestOtherReplicaFails has a disk that can't store what it is sent and that is not needed: another one can take its place.
func TestOtherReplicaFails(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		happens       func(k *cluster, r []string)
	}{
		"each but one that may take the place of a lost replica": {vms: 6, replicas: 2, happens: func(k *cluster, r []string) {
			spare := k.spareVM(r)
			for n := range k.vms {
				k.setFull(n, n != spare && !slices.Contains(r, n))
			}
			k.kill(r[1])
		}},
		"a replica, for a moment, as another one is lost": {vms: 4, replicas: 3, happens: func(k *cluster, r []string) {
			k.setFull(r[1], true)
			time.Sleep(5 * time.Second)
			k.setFull(r[1], false)
			k.kill(r[2])
		}},
		"a replica that was replaced, for a moment, and the other is lost": {vms: 3, replicas: 2, happens: func(k *cluster, r []string) {
			k.setFull(r[1], true)
			time.Sleep(8 * time.Second)
			k.setFull(r[1], false)
			k.kill(k.spareVM(r))
		}},
		"a replica, and another disk comes after a long time": {vms: 2, replicas: 2, happens: func(k *cluster, r []string) {
			k.setFull(r[1], true)
			time.Sleep(failureLifetime + 10*time.Second)
			k.start("d2", newDisk("disk-2"))
		}},
		"a replica that is chosen again after a long time": {vms: 4, replicas: 2, happens: func(k *cluster, r []string) {
			k.setFull(r[1], true)
			time.Sleep(failureLifetime + 10*time.Second)
			now := k.replicaVMs("lot")
			for n := range k.vms {
				k.setFull(n, n != now[0] && n != k.spareVM(append(now, r[1])))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 5 {
				t.Run(fmt.Sprint(n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c, stop := context.WithCancel(t.Context())
						defer stop()
						k := newCluster(t, c, x.vms, x.replicas)
						k.submit("lot", 600)
						time.Sleep(time.Second)
						x.happens(k, k.replicaVMs("lot"))
						time.Sleep(finishTime)
						k.checkProgress("lot", 3*time.Second)
						stop()
						synctest.Wait()
					})
				})
			}
		})
	}
}

// setFull sets whether the disk of VM n fails each write.
func (k *cluster) setFull(n string, v bool) {
	d := k.vms[n].disk
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = v
}

// checkProgress checks that more items of lot i are listed after d.
func (k *cluster) checkProgress(i string, d time.Duration) {
	k.t.Helper()
	if err := k.read(i, 0); err != nil {
		k.t.Errorf("lot %s cannot be read: %v", i, err)
	}
	before := len(k.readResults[i])
	time.Sleep(d)
	if err := k.read(i, 0); err != nil || len(k.readResults[i]) <= before {
		k.t.Errorf("lot %s: %d of %d items have results, %d had %v before: %v", i, len(k.readResults[i]), k.accepted[i], before, d, err)
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

// TestFailedReplicaIsLastResort guards against a lot without enough replicas for as long as a disk is avoided that failed for a
// moment: the one that took its place is lost.
func TestFailedReplicaIsLastResort(t *testing.T) {
	const promise = 18 * time.Second // Time in which an item has to be listed while all that it needs is well.
	for name, x := range map[string]struct {
		vms   int
		full  time.Duration // How long the first replica's disk refuses the writes that it gets.
		after time.Duration // Time from its end to the loss of the one that took its place.
	}{
		"three disks":                  {vms: 3, full: 5 * time.Second, after: 2 * time.Second},
		"three disks, later":           {vms: 3, full: 5 * time.Second, after: 20 * time.Second},
		"three disks, full for longer": {vms: 3, full: 15 * time.Second, after: 2 * time.Second},
		"another disk is left":         {vms: 4, full: 5 * time.Second, after: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, 2)
				setUndone := func(item string, v bool) {
					k.mu.Lock()
					defer k.mu.Unlock()
					k.undone[item] = v
				}
				setUndone("lot/0", true)
				setUndone("lot/1", true)
				k.submit("lot", 2)
				time.Sleep(time.Second)
				p := k.primary("lot")
				replicas := func() (l []string) {
					k.vms[p].manager.withLot("lot", func(o *lot) { l = o.replicas })
					return l
				}
				byDisk := func(d string) *vm {
					for _, o := range k.vms {
						if o.disk.name == d {
							return o
						}
					}
					return nil
				}
				setFull := func(o *vm, v bool) {
					o.disk.mu.Lock()
					defer o.disk.mu.Unlock()
					o.disk.full = v
				}
				first := byDisk(replicas()[1])
				setFull(first, true)
				setUndone("lot/1", false)
				// Runs of items are in random order, and the disk does not fail before there is something to write.
				for written := false; !written; time.Sleep(itemInterval) {
					k.vms[p].manager.withLot("lot", func(o *lot) { written = len(o.entries) == 2 })
				}
				time.Sleep(x.full)
				if second := byDisk(replicas()[1]); second == first {
					t.Fatal("the replica was not replaced")
				}
				setFull(first, false)
				time.Sleep(x.after)
				k.kill(byDisk(replicas()[1]).member.Name())
				lost := time.Now()
				setUndone("lot/0", false)
				for time.Since(lost) < promise {
					time.Sleep(100 * time.Millisecond)
					if done := k.listed(p, "lot"); done == 2 {
						t.Logf("listed after %s", time.Since(lost))
						stop()
						synctest.Wait()
						return
					}
				}
				k.vms[p].manager.withLot("lot", func(o *lot) { t.Errorf("nothing is listed; replicas %v, last error %v", o.replicas, o.lastError()) })
				stop()
				synctest.Wait()
			})
		})
	}
}

// listed returns the number of results that a caller of the process on VM v can read.
func (k *cluster) listed(v, i string) int {
	p, err := k.vms[v].manager.Read(k.c, bulrushlug.NewLotQuery(i, "o"))
	if err != nil {
		return 0
	}
	return len(p.Results())
}
