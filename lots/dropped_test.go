package lots

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestResultWithoutService guards against an item that counts as done although its result was dropped: its lot was not served by
// the process at that moment.
func TestResultWithoutService(t *testing.T) {
	for name, f := range map[string]func(l *lot){
		"the epoch may have changed": func(l *lot) { l.epochChanged = true },
		"the epoch is not confirmed": func(l *lot) { l.confirmed = false },
		"another primary":            func(l *lot) { slices.Reverse(l.replicas) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				k := newCluster(t, c, 2, 2)
				k.mu.Lock()
				k.undone["lot/0"] = true
				k.mu.Unlock()
				m := k.vms["d0"].manager
				if err := m.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("lot/0", "/", nil, nil)})); err != nil {
					t.Fatal(err)
				}
				m.withLot("lot", f)
				m.RecordResult(c, "lot", bulrushlug.NewLotResult(0, true, "dropped"))
				if m.HasResult("lot", 0) {
					t.Error("the item counts as done")
				}
				m.withLot("lot", func(l *lot) { l.confirmed, l.epochChanged, l.replicas = true, true, []string{"disk-0", "disk-1"} })
				time.Sleep(3 * time.Second)
				run := false
				m.EachRunnable(func(_ bulrushlug.Lot, left []uint32) { run = slices.Equal(left, []uint32{0}) })
				if !run {
					t.Error("the item does not run again")
				}
				m.RecordResult(c, "lot", bulrushlug.NewLotResult(0, true, "again"))
				time.Sleep(time.Second)
				p, err := m.Read(c, bulrushlug.NewLotQuery("lot", "o"))
				if err != nil || len(p.Results()) != 1 || p.Results()[0].Text() != "again" {
					t.Errorf("the results are %v: %v", p.Results(), err)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
