package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestConfigurationBehindLot guards against items that are given up by a process which does not know the configuration
// yet under which their lot was accepted.
func TestConfigurationBehindLot(t *testing.T) {
	routeTo := func(service string, retention time.Duration) bulrushlug.Change {
		return bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("r", "/", false, nil, bulrushlug.RouteShares(bulrushlug.NewShare(service, 1)),
			bulrushlug.RouteTraffic(bulrushlug.TrafficLot, true, false), bulrushlug.RouteLimits(3, 2, 0), bulrushlug.RouteLots(18*time.Second, retention)))
	}
	route := func(retention time.Duration) bulrushlug.Change { return routeTo("s", retention) }
	renamed := func(host, prefix string, x bulrushlug.Traffic) bulrushlug.Change {
		return bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("new", prefix, false, nil, bulrushlug.RouteHost(host), bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
			bulrushlug.RouteTraffic(x, true, false), bulrushlug.RouteLimits(3, 2, 0), bulrushlug.RouteLots(18*time.Second, time.Minute)))
	}
	for name, x := range map[string]struct {
		lot    uint64              // Revision under which the lot was accepted.
		known  uint64              // Revision that the process has at first.
		before []bulrushlug.Change // Configuration of that revision.
		later  uint64              // Revision that the process gets later; zero for none.
		after  []bulrushlug.Change // Configuration of that revision.
		kept   time.Duration       // Retention under which the lot was accepted; zero if unknown.
		want   string              // Result of the item in the end; empty for none.
	}{
		"the retention is shorter":                   {lot: 5, known: 5, before: []bulrushlug.Change{route(time.Second)}, kept: time.Minute, want: whole()},
		"the retention is shorter than before, over": {lot: 5, known: 5, before: []bulrushlug.Change{route(time.Second)}, kept: 2 * time.Second, want: "given up"},
		"the retention is longer":                    {lot: 5, known: 5, before: []bulrushlug.Change{route(time.Minute)}, kept: time.Second, want: whole()},
		"no retention any more":                      {lot: 5, known: 5, before: []bulrushlug.Change{route(0)}, kept: time.Second, want: whole()},
		"the route has another name":                 {lot: 5, known: 6, before: []bulrushlug.Change{renamed("h", "/", bulrushlug.TrafficLot)}, kept: time.Minute, want: whole()},
		"a route of another host":                    {lot: 5, known: 6, before: []bulrushlug.Change{renamed("i", "/", bulrushlug.TrafficLot)}, kept: time.Minute, want: "given up"},
		"a route of another prefix":                  {lot: 5, known: 6, before: []bulrushlug.Change{renamed("h", "/q/", bulrushlug.TrafficLot)}, kept: time.Minute, want: "given up"},
		"a route that takes no lots":                 {lot: 5, known: 6, before: []bulrushlug.Change{renamed("h", "/", bulrushlug.TrafficStream)}, kept: time.Minute, want: "given up"},
		"the route was just added":                   {lot: 5, known: 3, later: 5, after: []bulrushlug.Change{route(time.Minute)}, want: whole()},
		"the route was just added, and a newer":      {lot: 5, known: 3, later: 9, after: []bulrushlug.Change{route(time.Minute)}, want: whole()},
		"the retention was just made longer":         {lot: 5, known: 3, before: []bulrushlug.Change{route(time.Millisecond)}, later: 5, after: []bulrushlug.Change{route(time.Minute)}, want: whole()},
		"the revision does not come":                 {lot: 5, known: 3},
		"the route is removed later":                 {lot: 5, known: 3, later: 6, want: "given up"},
		"the process knew the removal already":       {lot: 5, known: 6, want: "given up"},
		"the route was just moved to the service":    {lot: 5, known: 3, before: []bulrushlug.Change{routeTo("t", time.Minute)}, later: 5, after: []bulrushlug.Change{route(time.Minute)}, want: whole()},
		"the route was just moved away from it":      {lot: 5, known: 3, before: []bulrushlug.Change{route(time.Minute)}, later: 5, after: []bulrushlug.Change{routeTo("t", time.Minute)}},
		"a lot that names no revision":               {known: 3, want: "given up"},
		"a lot that names no revision, on its route": {known: 3, before: []bulrushlug.Change{route(time.Minute)}, want: whole()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, nil)
				s.routes.setRevision(x.known, x.before...)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now().Add(-10*time.Second), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := s.manager.Submit(c, l.WithRevision(x.lot).WithRetention(x.kept)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if x.later > 0 {
					s.routes.setRevision(x.later, x.after...)
				}
				time.Sleep(5 * time.Second)
				if got := s.listed(t)["i0"]; got != x.want {
					t.Errorf("result of the item is %q, not %q", got, x.want)
				}
				s.server.mu.Lock()
				if n := s.server.runs["i0"]; n > 0 && x.want != whole() {
					t.Errorf("the item ran %d times at a service that its route does not name", n)
				}
				s.server.mu.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}
