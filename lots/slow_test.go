package lots

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestSlowDisks guards against a lot that makes no progress: disks store all that they get, but never as fast as their callers
// wait for it.
func TestSlowDisks(t *testing.T) {
	for name, x := range map[string]struct {
		vms, replicas int
		slow          []int // Replicas by position.
		delay         time.Duration
	}{
		"one replica, no other disk":      {vms: 2, replicas: 2, slow: []int{1}, delay: time.Second},
		"one replica, slower":             {vms: 2, replicas: 2, slow: []int{1}, delay: 2 * time.Second},
		"one replica, slowest":            {vms: 2, replicas: 2, slow: []int{1}, delay: 5 * time.Second},
		"two replicas, no other disk":     {vms: 3, replicas: 3, slow: []int{1, 2}, delay: time.Second},
		"two replicas, slower":            {vms: 3, replicas: 3, slow: []int{1, 2}, delay: 2 * time.Second},
		"two replicas, slowest":           {vms: 3, replicas: 3, slow: []int{1, 2}, delay: 5 * time.Second},
		"the primary, no other disk":      {vms: 2, replicas: 2, slow: []int{0}, delay: 2 * time.Second},
		"the primary, slowest":            {vms: 2, replicas: 2, slow: []int{0}, delay: 5 * time.Second},
		"all, no other disk":              {vms: 3, replicas: 3, slow: []int{0, 1, 2}, delay: 2 * time.Second},
		"all, slowest":                    {vms: 3, replicas: 3, slow: []int{0, 1, 2}, delay: 5 * time.Second},
		"two replicas, others are sound":  {vms: 6, replicas: 3, slow: []int{1, 2}, delay: 5 * time.Second},
		"all replicas, others are sound":  {vms: 6, replicas: 3, slow: []int{0, 1, 2}, delay: 5 * time.Second},
		"all replicas, one other is good": {vms: 4, replicas: 3, slow: []int{0, 1, 2}, delay: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 20)
				time.Sleep(time.Second)
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				for _, n := range x.slow {
					k.setDisk(l[n], false, x.delay)
				}
				begun := time.Now()
				for done := false; !done && time.Since(begun) < 10*time.Minute; {
					time.Sleep(time.Second)
					p, err := k.fronts[0].Read(c, bulrushlug.NewLotQuery("lot", "o"))
					done = err == nil && len(p.Results()) == 20
				}
				k.checkComplete()
				t.Log(fmt.Sprint("complete after ", time.Since(begun)))
				for _, d := range l {
					k.setDisk(d, false, 0)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
