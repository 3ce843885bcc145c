package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestItemsUseAllServices guards against items that wait for the main service of their route while another one is idle.
func TestItemsUseAllServices(t *testing.T) {
	share := bulrushlug.NewShare
	for name, x := range map[string]struct {
		shares  []bulrushlug.Share
		servers map[string]uint32 // Slots of the server of each service.
		want    int               // Results of two items.
	}{
		"one service":                      {shares: []bulrushlug.Share{share("s", 1)}, servers: map[string]uint32{"s": 4}, want: 2},
		"no shares":                        {servers: map[string]uint32{"r": 4}, want: 2},
		"the main service has no server":   {shares: []bulrushlug.Share{share("s", 9), share("t", 1)}, servers: map[string]uint32{"t": 4}, want: 2},
		"the other service has no server":  {shares: []bulrushlug.Share{share("s", 9), share("t", 1)}, servers: map[string]uint32{"s": 4}, want: 2},
		"a service that takes no requests": {shares: []bulrushlug.Share{share("s", 9), share("t", 0)}, servers: map[string]uint32{"t": 4}},
		"no service with a server":         {shares: []bulrushlug.Share{share("s", 1)}, servers: map[string]uint32{"t": 4}},
		"the lightest one is listed first": {shares: []bulrushlug.Share{share("t", 1), share("s", 9)}, servers: map[string]uint32{"t": 4}, want: 2},
		"all weights are zero":             {shares: []bulrushlug.Share{share("s", 0)}, servers: map[string]uint32{"s": 4}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, nil)
				s.routes.set(bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("r", "/", false, nil, bulrushlug.RouteShares(x.shares...),
					bulrushlug.RouteTraffic(bulrushlug.TrafficLot, true, false), bulrushlug.RouteLimits(3, 2, 0), bulrushlug.RouteLots(18*time.Second, time.Minute))))
				var l []bulrushlug.Backend
				for v, n := range x.servers {
					l = append(l, bulrushlug.NewBackend("b-"+v, v, "h:1", bulrushlug.BackendZoneSlots("z", n)))
				}
				s.table.Update(l)
				if err := s.submit(c, 2); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if got := s.listed(t); len(got) != x.want {
					t.Errorf("%d results", len(got))
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
