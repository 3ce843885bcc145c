package lots

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestRoom has more lots submitted than a disk has room for: those beyond it are refused and leave nothing behind, the others go on,
// and there is room again once they are gone.
func TestRoom(t *testing.T) {
	const size = 100 << 10
	newLot := func(i int) bulrushlug.Lot {
		id := fmt.Sprint("lot", i)
		return bulrushlug.NewLot(id, "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem(id+"/0", "/", nil, make([]byte, size))})
	}
	for name, x := range map[string]struct {
		bytes, lots int    // Room.
		vm          string // The VM that has no more; d0 is the primary.
		accepted    int
		want        bulrushlug.Kind // Of the refusal.
	}{
		"bytes":                   {bytes: 350 << 10, vm: "d0", accepted: 3, want: bulrushlug.KindOverloaded},
		"lots":                    {lots: 4, vm: "d0", accepted: 4, want: bulrushlug.KindOverloaded},
		"bytes of the replica":    {bytes: 350 << 10, vm: "d1", accepted: 3, want: bulrushlug.KindUnplaceable},
		"lots of the replica":     {lots: 4, vm: "d1", accepted: 4, want: bulrushlug.KindUnplaceable},
		"none for a single lot":   {bytes: size, vm: "d0", want: bulrushlug.KindOverloaded},
		"no bound":                {vm: "d0", accepted: 8},
		"both, the smaller holds": {bytes: 350 << 10, lots: 2, vm: "d0", accepted: 2, want: bulrushlug.KindOverloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				m, full := k.vms["d0"].manager, k.vms[x.vm].manager
				full.roomBytes, full.roomLots = int64(x.bytes), x.lots
				for i := range 8 {
					err := m.Submit(c, newLot(i))
					if ok := i < x.accepted; ok != (err == nil) || !ok && bulrushlug.KindOf(err) != x.want {
						t.Errorf("lot %d: %v", i, err)
					}
					if err != nil && bulrushlug.KindOf(err).Response().MayHaveRun() {
						t.Errorf("lot %d: the refusal promises nothing: %v", i, err)
					}
				}
				time.Sleep(2 * replicaTimeout)
				for n, v := range k.vms {
					if got := v.manager.LotCount(); got != x.accepted {
						t.Errorf("%d lots are on %s", got, n)
					}
				}
				for i := range x.accepted {
					if err := m.Submit(c, newLot(i)); err != nil {
						t.Errorf("lot %d is accepted, and submitted again: %v", i, err)
					}
				}
				time.Sleep(retention + 4*expiryDelay + time.Minute)
				for n, v := range k.vms {
					if v.manager.LotCount() > 0 || v.manager.HeldBytes() != 0 {
						t.Errorf("%s: %d lots and %d bytes are left", n, v.manager.LotCount(), v.manager.HeldBytes())
					}
				}
				if err := m.Submit(c, newLot(9)); (err == nil) != (x.accepted > 0) {
					t.Errorf("a lot after that: %v", err)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestMoveWithoutRoom has a lot move to a disk that accepts no new lots: what was accepted is kept.
func TestMoveWithoutRoom(t *testing.T) {
	for name, lost := range map[string]string{"the primary is lost": "primary", "a replica is lost": "replica"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 3, 2)
				k.submit("lot", 5)
				for _, v := range k.vms {
					v.manager.roomBytes, v.manager.roomLots = 1, 1
				}
				var l []string
				k.vms[k.primary("lot")].manager.withLot("lot", func(o *lot) { l = o.replicas })
				if lost == "primary" {
					k.kill(k.vmOf(l[0]))
				} else {
					k.kill(k.vmOf(l[1]))
				}
				time.Sleep(recoveryTime)
				k.checkAll("lot")
				stop()
				synctest.Wait()
			})
		})
	}
}
