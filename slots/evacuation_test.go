package slots

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/warm"
)

// TestEvacuatedServerGetsRequests guards against requests and items at the servers of an evacuated zone, and against
// counting them as available.
func TestEvacuatedServerGetsRequests(t *testing.T) {
	in := func(id, zone string, draining bool) bulrushlug.Backend {
		return bulrushlug.NewBackend(id, "s", "h:1", bulrushlug.BackendZoneSlots(zone, 8), bulrushlug.BackendDraining(draining))
	}
	a, b := in("a", "z0", false), in("b", "z1", false)
	for name, x := range map[string]struct {
		servers   []bulrushlug.Backend
		evacuated []string
		failed    []string // Servers in back-off.
		leaving   []string // Servers that said that they are leaving.
		want      []string
		left      string // Evacuations.
		present   bool   // Callers are to be refused here, not at the load balancer.
	}{
		"no zone":                             {servers: []bulrushlug.Backend{a, b}, want: []string{"a", "b"}, left: "map[]", present: true},
		"one of two zones":                    {servers: []bulrushlug.Backend{a, b}, evacuated: []string{"z0"}, want: []string{"b"}, left: "map[s:{1 1}]", present: true},
		"all zones":                           {servers: []bulrushlug.Backend{a, b}, evacuated: []string{"z0", "z1"}, left: "map[s:{0 2}]", present: true},
		"a zone without servers":              {servers: []bulrushlug.Backend{a, b}, evacuated: []string{"z2"}, want: []string{"a", "b"}, left: "map[]", present: true},
		"the other zone's server has failed":  {servers: []bulrushlug.Backend{a, b}, evacuated: []string{"z0"}, failed: []string{"b"}, want: []string{"b"}, left: "map[s:{1 1}]", present: true},
		"the other zone's server leaves":      {servers: []bulrushlug.Backend{a, in("b", "z1", true)}, evacuated: []string{"z0"}, left: "map[s:{0 1}]", present: true},
		"the last server says that it leaves": {servers: []bulrushlug.Backend{a}, evacuated: []string{"z0"}, leaving: []string{"a"}, left: "map[s:{0 1}]", present: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warm.New("e", false, bulrushlug.NewWarmup(1, 0), func() ([]string, uint64) { return nil, 0 })
				b := New("e", func() []string { return nil }, WithGate(g))
				b.Update(x.servers)
				for _, id := range x.failed {
					(&Reservation{shard: b.shard(id), entry: b.shard(id).entries[id]}).RecordFailure()
				}
				for _, s := range x.servers {
					if slices.Contains(x.leaving, s.ID()) {
						b.RecordReported([]bulrushlug.Backend{s})
					}
				}
				m := map[string]bool{}
				for _, z := range x.evacuated {
					m[z] = true
				}
				g.SetEvacuated(m)
				if got := chosen(b); !slices.Equal(got, x.want) {
					t.Errorf("%q got requests, want %q", got, x.want)
				}
				if n := b.Present(); (n > 0) != x.present {
					t.Errorf("%d servers are present", n)
				}
				if got := fmt.Sprint(b.Evacuations()); got != x.left {
					t.Errorf("effect %s, want %s", got, x.left)
				}
				g.SetEvacuated(nil)
				if n := b.Available("s"); n == 0 && x.want != nil {
					t.Error("no server is available after the evacuation")
				}
			})
		})
	}
}
