package daemon

import (
	"strings"
	"testing"

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
