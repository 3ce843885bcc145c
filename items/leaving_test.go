package items

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestItemsStartAtLeavingServer guards against runs of items, first and resumed ones, at a server that said that it is
// leaving.
func TestItemsStartAtLeavingServer(t *testing.T) {
	const items = 12
	for name, x := range map[string]struct {
		status   []int // Status of each run of an item.
		reported bool  // Other processes report all servers as leaving before.
		told     bool  // All servers told this process before.
		none     bool  // No item runs.
	}{
		"complete runs":             {},
		"runs that break off":       {status: []int{0, 0}},
		"refused runs":              {status: []int{503, 503}},
		"failed runs":               {status: []int{500}},
		"all servers were reported": {reported: true},
		"all servers told this one": {told: true, none: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				status := map[string][]int{}
				for i := range items {
					status[fmt.Sprint("i", i)] = x.status
				}
				s := newSystem(c, status)
				var l []bulrushlug.Backend
				for _, id := range []string{"b", "c", "d"} {
					l = append(l, bulrushlug.NewBackend(id, "s", id+":1", bulrushlug.BackendZoneSlots("z", 4), bulrushlug.BackendStart(1, 1)))
				}
				s.table.Update(l)
				if x.reported {
					s.table.RecordReported(l)
				}
				if x.told {
					for _, b := range l {
						s.table.RecordDeparture(bulrushlug.NewDeparture(b, "r", "response"))
					}
				}
				var told time.Time // When b said that it is leaving.
				late, calls := 0, 0
				s.server.onCall = func(b bulrushlug.Backend) {
					calls++
					if b.ID() != "b" {
						return
					}
					if told.IsZero() {
						told = time.Now()
					}
					s.table.RecordDeparture(bulrushlug.NewDeparture(b, "r", "response"))
					if time.Now().After(told) {
						late++
					}
				}
				if err := s.submit(c, items); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Second)
				want := items
				if x.none {
					want = 0
				}
				s.server.mu.Lock()
				if late > 0 || (calls == 0) != x.none || told.IsZero() != x.none {
					t.Errorf("%d of %d runs reached the server later", late, calls)
				}
				s.server.mu.Unlock()
				if n := len(s.listed(t)); n != want {
					t.Errorf("%d items are listed", n)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
