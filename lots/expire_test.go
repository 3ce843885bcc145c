package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestOpenLotOutlivesRetention guards against results that are deleted while an item of their lot is still to be run.
func TestOpenLotOutlivesRetention(t *testing.T) {
	for name, x := range map[string]struct {
		openFor time.Duration    // How long an item can't be completed.
		during  func(k *cluster) // Called while the lot is there; nil for nothing.
		after   time.Duration    // Time after the submission at which the lot is looked for.
		results int              // Results that are read then.
		gone    bool             // The lot is on no disk, and has no record.
	}{
		"finished at once, before the end": {after: retention - time.Second, results: 3},
		"finished at once, after it":       {after: retention + 2*expiryDelay, gone: true},
		"open for long":                    {openFor: time.Hour, after: 3 * retention, results: 2},
		"finished after the retention":     {openFor: 2 * retention, after: 2*retention + expiryDelay/2, results: 3},
		"finished long ago":                {openFor: 2 * retention, after: 2*retention + 3*expiryDelay, gone: true},
		"ended while open": {openFor: time.Hour, after: retention + 2*expiryDelay, gone: true, during: func(k *cluster) {
			if err := k.fronts[0].End(k.c, bulrushlug.NewLotQuery("lot", "o")); err != nil {
				k.t.Error(err)
			}
		}},
		"a replica is cut off when it is dropped": {after: retention + 4*expiryDelay, gone: true, during: func(k *cluster) {
			time.Sleep(retention)
			k.setIsolated("d1", true)
			time.Sleep(2 * expiryDelay)
			k.setIsolated("d1", false)
		}},
		"the primary is replaced when the lot is dropped": {after: retention + 4*expiryDelay, gone: true, during: func(k *cluster) {
			time.Sleep(retention + expiryDelay/2)
			p := k.primary("lot")
			k.setPartitioned(p, true)
			time.Sleep(expiryDelay)
			k.setPartitioned(p, false)
		}},
		"a restart while open": {openFor: time.Hour, after: 3 * retention, results: 2, during: func(k *cluster) {
			time.Sleep(2 * retention)
			for _, n := range []string{"d0", "d1", "d2"} {
				k.start(n, k.kill(n))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 3, 2)
				k.mu.Lock()
				k.undone["lot/1"] = x.openFor > 0
				k.mu.Unlock()
				begun := time.Now()
				k.submit("lot", 3)
				time.Sleep(2 * time.Second)
				if x.during != nil {
					x.during(k)
				}
				go func() {
					_ = bulrushlug.Sleep(c, time.Until(begun.Add(x.openFor)))
					k.mu.Lock()
					defer k.mu.Unlock()
					delete(k.undone, "lot/1")
				}()
				time.Sleep(time.Until(begun.Add(x.after)))
				p, err := k.fronts[0].Read(c, bulrushlug.NewLotQuery("lot", "o"))
				if len(p.Results()) != x.results || (err != nil) != x.gone {
					t.Errorf("%d results, %v", len(p.Results()), err)
				}
				if x.gone {
					for n, v := range k.vms {
						if v.manager.LotCount() > 0 {
							t.Errorf("the lot is still on VM %s", n)
						}
					}
					if k.recordRevision("lot") > 0 {
						t.Error("the record is still there")
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
