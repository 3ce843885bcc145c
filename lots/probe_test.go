package lots

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestPrimaryWithoutLot guards against a lot that nobody serves: its primary is alive but has lost it, and another replica
// has it.
func TestPrimaryWithoutLot(t *testing.T) {
	for name, x := range map[string]struct{ vms, replicas, without int }{
		"the primary of two":         {vms: 4, replicas: 2, without: 1},
		"the primary of three":       {vms: 6, replicas: 3, without: 1},
		"the first two out of three": {vms: 6, replicas: 3, without: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, x.vms, x.replicas)
				k.submit("lot", 3)
				time.Sleep(3 * time.Second)
				k.checkComplete()
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				for _, d := range l[:x.without] {
					n := "d" + strings.TrimPrefix(d, "disk-")
					_ = k.kill(n).Drop("lot")
					k.start(n, k.vms[n].disk)
				}
				time.Sleep(recoveryTime)
				k.checkComplete()
				stop()
				synctest.Wait()
			})
		})
	}
}
