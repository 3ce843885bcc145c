package lots

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestWriteNeverEnds guards against calls that wait for a write to the disk without a limit, and pile up while it doesn't end.
func TestWriteNeverEnds(t *testing.T) {
	for name, f := range map[string]func(k *ReplicaManager, u bulrushlug.LotUpdate){
		"an update": func(k *ReplicaManager, u bulrushlug.LotUpdate) { _, _ = k.Append(u) },
		"forget":    func(k *ReplicaManager, _ bulrushlug.LotUpdate) { k.Forget("lot", firstEpoch) },
		"withdraw":  func(k *ReplicaManager, _ bulrushlug.LotUpdate) { k.Withdraw("lot", "disk-0") },
		"verify":    func(k *ReplicaManager, _ bulrushlug.LotUpdate) { k.Verify("lot", firstEpoch) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const calls = 10
				c, stop := context.WithCancel(t.Context())
				k := newCluster(t, c, 2, 2)
				m := k.vms["d1"].manager
				e := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)}))}
				u := bulrushlug.NewLotUpdate("lot", firstEpoch, []string{"disk-0", "disk-1"}, 0, e, false)
				k.setDisk("disk-1", false, time.Hour)
				go func() { _, _ = m.Append(u) }()
				time.Sleep(time.Second)
				var returned atomic.Int64
				for range calls {
					go func() {
						f(m, u)
						returned.Add(1)
					}()
				}
				// A wait for a lock would stop the clock of the bubble.
				for range 100 {
					time.Sleep(logTransferTimeout / 50)
				}
				if n := returned.Load(); n != calls {
					t.Errorf("%d of %d calls have returned", n, calls)
				}
				k.setDisk("disk-1", false, 0)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
