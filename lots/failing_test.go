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
