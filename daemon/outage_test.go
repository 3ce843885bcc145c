package daemon

import (
	"maps"
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestConfigurationInOutage guards against a configuration under which lots were accepted, and that does not arrive at a process
// that runs their items for as long as the key-value service is unreachable: others have it.
func TestConfigurationInOutage(t *testing.T) {
	for name, x := range map[string]struct {
		entries, data int
		knows         func(s *testSystem) []*process // Those that have read it before the outage.
	}{
		"an entry has it":                  {entries: 1, data: 2, knows: func(s *testSystem) []*process { return s.entries }},
		"a process with a disk has it":     {entries: 1, data: 2, knows: func(s *testSystem) []*process { return s.data[:1] }},
		"all but one of them have it":      {entries: 2, data: 3, knows: func(s *testSystem) []*process { return append(s.data[1:], s.entries...) }},
		"one of two entries has it, alone": {entries: 2, data: 1, knows: func(s *testSystem) []*process { return s.entries[1:] }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, x.entries, x.data, 1)
			s.waitUntil("the processes have discovered each other", func() bool {
				for _, p := range s.all {
					if len(p.daemon.membership.All()) != len(s.all)-1 {
						return false
					}
				}
				return true
			})
			before := s.all[0].daemon.manifestVersion()
			servers := len(s.data[0].daemon.backendMirror.Entries())
			s.store.SetOutage(true)
			s.waitUntil("all processes know of the outage", func() bool {
				for _, p := range s.all {
					if !p.daemon.storeLost() {
						return false
					}
				}
				return true
			})
			l, n := s.all[0].daemon.operatorMirror.Snapshot()
			for _, p := range s.all {
				n = max(n, p.daemon.operatorMirror.Revision())
			}
			var later []bulrushlug.KVEntry
			for _, i := range l {
				if i.Key() == "op/config" {
					i = bulrushlug.NewKVEntry(i.Key(), []byte(strings.Replace(string(i.Value()), `"version":1`, `"version":2`, 1)), n+1)
				}
				later = append(later, i)
			}
			for _, p := range x.knows(s) {
				p.daemon.operatorMirror.ApplySnapshot(later, n+1)
			}
			s.waitUntil("all processes have the configuration", func() bool {
				for _, p := range s.all {
					if p.daemon.manifestVersion() <= before {
						return false
					}
				}
				return true
			})
			for _, p := range s.all {
				if got := len(p.daemon.backendMirror.Entries()); got != servers {
					t.Errorf("%s has %d servers, before the outage there were %d", p.settings["vm"], got, servers)
				}
			}
			s.store.SetOutage(false)
		})
	}
}

// TestWaitsAreCountedFromTheStart guards against a process whose items wait and that says nothing of them, as it starts while
// the key-value service is unreachable and has no configuration yet.
func TestWaitsAreCountedFromTheStart(t *testing.T) {
	for name, x := range map[string]struct {
		restarted int            // Processes with disks that start again; the others are gone.
		want      map[string]int // Items that wait at all of them, by cause.
	}{
		"one of two":  {restarted: 1, want: map[string]int{"replicas": 3}},
		"both of two": {restarted: 2, want: map[string]int{"replicas": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 1, 2, 1)
			s.backends[0].set(func(b *fakeBackend) { b.eventInterval = time.Minute })
			s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 3)); return n == 202 })
			primary := 0
			s.waitUntil("its items run", func() bool {
				for i, p := range s.data {
					if p.daemon.roleHandler.(*data).replicas.IsPrimary("lot1") {
						primary = i
					}
				}
				return s.backends[0].total() >= 3
			})
			s.store.SetOutage(true)
			for _, p := range s.all {
				p.end()
			}
			var l []*process
			for i := range x.restarted {
				l = append(l, s.start(s.data[(primary+i)%2].settings))
			}
			s.waitUntil("the waits are counted", func() bool {
				got := map[string]int{}
				for _, p := range l {
					for c, n := range p.daemon.roleHandler.(*data).runner.Waiting() {
						got[c] += n
					}
				}
				return maps.Equal(got, x.want)
			})
			s.store.SetOutage(false)
		})
	}
}
