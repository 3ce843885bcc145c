package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// evacuate writes the operators' request to evacuate zone z, or takes it back.
func (s *testSystem) evacuate(z string, on bool) {
	s.t.Helper()
	w := bulrushlug.RemoveWrite("op/evacuate/" + z)
	if on {
		w = bulrushlug.PutWrite("op/evacuate/"+z, []byte("{}"), 0)
	}
	if _, err := s.store.Commit(s.t.Context(), nil, []bulrushlug.Write{w}); err != nil {
		s.t.Fatal(err)
	}
}

// TestEvacuation guards against an evacuation that some process does not see: one that starts later, also while the
// key-value service is down, or one that is told of its end only by others.
func TestEvacuation(t *testing.T) {
	s := newSystem(t, 2, 2, 2)
	b := s.backends[0]
	s.warmUp()
	s.write("servers/"+b.id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z9","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, b.address))
	know := func(want bool) {
		t.Helper()
		s.waitUntil(fmt.Sprint("all processes know that the zone is evacuated: ", want), func() bool {
			for _, p := range append(slices.Clone(s.data), s.entries...) {
				if (p.daemon.slotTable.Evacuations()["s"].Evacuated() == 1) != want {
					return false
				}
			}
			return true
		})
	}
	none := func(when string) {
		t.Helper()
		for i := range s.entries {
			if s.reached(b, i, 4) {
				t.Errorf("%s: a request of entry %d reached a server of the zone", when, i)
			}
		}
	}
	s.evacuate("z9", true)
	know(true)
	none("evacuated")
	before := b.total()
	s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 12)); return n == 202 })
	s.waitUntil("all results are listed", func() bool { return s.resultCount(0, "lot1") == 12 })
	if b.total() > before {
		t.Error("an item reached a server of the zone")
	}
	s.entries[0].end()
	s.store.SetOutage(true)
	s.entries[0] = s.start(map[string]string{"vm": "e0", "zone": "z0", "role": "entry", "http": freeAddress(), "ready": freeAddress(), "listen": s.entries[0].settings["listen"]})
	s.waitUntil("the entry is ready", func() bool { return s.ready(0) })
	know(true)
	none("started in an outage")
	s.store.SetOutage(false)
	none("after the outage")
	s.evacuate("z9", false)
	know(false)
	s.waitUntil("its servers are used again", func() bool { return s.reached(b, 1, 8) })
}

// TestEvacuationIsLogged guards against zones that are emptied or taken back without a line and a metric that say what is
// left.
func TestEvacuationIsLogged(t *testing.T) {
	config := bulrushlug.NewKVEntry("op/config", []byte(`{"version":1,"routes":[],"services":[]}`), 1)
	zone := func(z string) bulrushlug.KVEntry {
		return bulrushlug.NewKVEntry("op/evacuate/"+z, []byte("{}"), 2)
	}
	for name, x := range map[string]struct {
		steps  [][]bulrushlug.KVEntry
		lines  []string
		counts string
	}{
		"none": {steps: [][]bulrushlug.KVEntry{{config}}, counts: `{"servers": 0, "servicesWithoutServer": 0}`},
		"one zone": {steps: [][]bulrushlug.KVEntry{{config, zone("z0")}}, counts: `{"begun": 1, "servers": 1, "servicesWithoutServer": 0}`,
			lines: []string{"event=evacuation zone=z0 state=begun", "event=serversEvacuated service=s evacuated=1 left=1"}},
		"the last zone": {steps: [][]bulrushlug.KVEntry{{config, zone("z0"), zone("z1")}}, counts: `{"begun": 2, "servers": 2, "servicesWithoutServer": 1}`,
			lines: []string{"event=evacuation zone=z0 state=begun", "event=evacuation zone=z1 state=begun", "event=serversEvacuated service=s evacuated=2 left=0"}},
		"taken back": {steps: [][]bulrushlug.KVEntry{{config, zone("z0")}, {config}}, counts: `{"begun": 1, "ended": 1, "servers": 0, "servicesWithoutServer": 0}`,
			lines: []string{"event=evacuation zone=z0 state=begun", "event=serversEvacuated service=s evacuated=1 left=1", "event=evacuation zone=z0 state=ended"}},
		"without a manifest": {steps: [][]bulrushlug.KVEntry{{zone("z0")}}, counts: `{"begun": 1, "servers": 1, "servicesWithoutServer": 0}`,
			lines: []string{"event=evacuation zone=z0 state=begun", "event=serversEvacuated service=s evacuated=1 left=1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			d := newLoneEntry(t, log.NewLogfmtLogger(&out))
			d.slotTable.Update([]bulrushlug.Backend{
				bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z0", 8)),
				bulrushlug.NewBackend("b", "s", "h:2", bulrushlug.BackendZoneSlots("z1", 8)),
			})
			for _, l := range x.steps {
				d.setManifest(l)
			}
			d.setEvacuationMetrics()
			var lines []string
			for l := range strings.Lines(out.String()) {
				if strings.Contains(l, "vacuat") {
					lines = append(lines, strings.TrimPrefix(strings.TrimSpace(l), "vm=e0 "))
				}
			}
			if fmt.Sprint(lines) != fmt.Sprint(x.lines) || d.evacuationCounts.String() != x.counts {
				t.Errorf("lines %q, counts %s", lines, d.evacuationCounts)
			}
		})
	}
}

// TestAllZonesEvacuated guards against entries that callers can't reach, or that let them wait, while operators evacuate the
// zones of all servers.
func TestAllZonesEvacuated(t *testing.T) {
	for name, x := range map[string]struct {
		zones  []string
		status int
	}{
		"none":               {status: 200},
		"one without server": {zones: []string{"z7"}, status: 200},
		"all":                {zones: []string{"z0", "z7"}, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1, 0, 2)
			s.warmUp()
			for _, z := range x.zones {
				s.evacuate(z, true)
			}
			s.waitUntil("the zones are evacuated", func() bool {
				for _, z := range x.zones {
					if !s.entries[0].daemon.gate.Evacuated(z) {
						return false
					}
				}
				return true
			})
			if !s.ready(0) {
				t.Error("the entry is not ready")
			}
			begin := time.Now()
			if n, _ := s.call(0, "POST", "/ask/x", "r1", "k1", "b"); n != x.status || time.Since(begin) > time.Second {
				t.Errorf("status %d after %v", n, time.Since(begin))
			}
		})
	}
}
