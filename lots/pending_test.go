package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// TestPendingResults guards against results that were not synced when a change of replicas came: an item may not be listed
// twice, and one whose result is dropped has to run again.
func TestPendingResults(t *testing.T) {
	for name, x := range map[string]struct {
		theirs  []uint32 // Items whose results another primary has listed meanwhile.
		primary string   // Disk of the primary after the change.
		left    int      // Items to run after the change.
	}{
		"primary again, listed by another one":              {theirs: []uint32{0}, primary: "disk-0", left: 1},
		"primary again, another item listed by another one": {theirs: []uint32{1}, primary: "disk-0"},
		"primary again, nothing listed":                     {primary: "disk-0", left: 1},
		"another primary":                                   {primary: "disk-1", left: 2},
		"another primary, listed by it":                     {theirs: []uint32{0}, primary: "disk-1", left: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				k := newCluster(t, c, 2, 2)
				k.mu.Lock()
				k.undone["lot/0"], k.undone["lot/1"] = true, true
				k.mu.Unlock()
				m := k.vms["d0"].manager
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("lot/0", "/", nil, nil), bulrushlug.NewLotItem("lot/1", "/", nil, nil)})
				if err := m.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				k.setDisk("disk-0", true, 0)
				m.RecordResult(c, "lot", bulrushlug.NewLotResult(0, true, "ours"))
				time.Sleep(time.Second)
				if !m.HasResult("lot", 0) || m.HasResult("lot", 1) {
					t.Fatal("the result is not pending")
				}
				// The change of replicas that another process made meanwhile.
				other := map[string]string{"disk-0": "disk-1", "disk-1": "disk-0"}[x.primary]
				e := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}
				for _, n := range x.theirs {
					e = append(e, bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(n, true, "theirs")))
				}
				u := bulrushlug.NewLotUpdate("lot", firstEpoch+1, []string{x.primary, other}, 0, e, true)
				r, err := codec.EncodeLotRecord(bulrushlug.NewLotRecord(firstEpoch+1, []string{x.primary, other}, "o"))
				if err != nil {
					t.Fatal(err)
				}
				old, err := k.store.Get(c, "lot/lot")
				if err != nil {
					t.Fatal(err)
				}
				if _, err := k.store.Commit(c, []bulrushlug.Condition{bulrushlug.NewCondition("lot/lot", old.Revision())}, []bulrushlug.Write{bulrushlug.PutWrite("lot/lot", r, 0)}); err != nil {
					t.Fatal(err)
				}
				k.setDisk("disk-0", false, 0)
				for _, v := range k.vms {
					if s, err := v.manager.Append(u); err != nil || !s.OK() {
						t.Fatal(s, err)
					}
				}
				time.Sleep(5 * time.Second)
				p := k.vms["d1"].manager
				if x.primary == "disk-0" {
					p = m
				}
				ran := 0
				for n := range uint32(2) {
					if !p.HasResult("lot", n) {
						ran++
						p.RecordResult(c, "lot", bulrushlug.NewLotResult(n, true, "later"))
					}
				}
				if ran != x.left {
					t.Errorf("%d items had no result after the change, want %d", ran, x.left)
				}
				time.Sleep(5 * time.Second)
				g, err := p.Read(c, bulrushlug.NewLotQuery("lot", "o"))
				if err != nil {
					t.Fatal(err)
				}
				listed := map[string]int{}
				for _, r := range g.Results() {
					listed[r.ID()]++
				}
				if listed["lot/0"] != 1 || listed["lot/1"] != 1 {
					t.Errorf("items at positions: %v", listed)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
