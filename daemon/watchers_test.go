package daemon

import (
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug/rank"
)

// applyTime is the time after which a confirmed manifest is in force at all processes that reach the key-value service.
const applyTime = 2 * time.Second

// watchers returns the processes of s in the order in which they watch the key-value service.
func (s *testSystem) watchers() (l []*process) {
	byVM := map[string]*process{}
	var names []string
	for _, p := range s.all {
		byVM[p.settings["vm"]] = p
		names = append(names, p.settings["vm"])
	}
	for _, n := range rank.Order("lookout", names) {
		l = append(l, byVM[n])
	}
	return l
}

// TestWatchersLoseService guards against processes that serve an older manifest for as long as those that watch the key-value service
// for them don't notice that they hear nothing of it. Each row cuts off the first processes in the order of watching, just after they
// have renewed their leases.
func TestWatchersLoseService(t *testing.T) {
	stall := func(g *faultProxy) { g.set("stall") }
	for name, x := range map[string]struct {
		cut   int // Number of processes that are cut off.
		fault func(g *faultProxy)
		gap   time.Duration // Time between the cuts of two processes.
	}{
		"none":                                {},
		"one of two":                          {cut: 1, fault: stall},
		"both":                                {cut: 2, fault: stall},
		"both, one after the other":           {cut: 2, fault: stall, gap: 300 * time.Millisecond},
		"both, and the one that would follow": {cut: 3, fault: stall},
		"both get no answers":                 {cut: 2, fault: func(g *faultProxy) { g.set("stall replies") }},
		"both are reset":                      {cut: 2, fault: func(g *faultProxy) { g.set("reset") }},
		"open connections go silent, new ones work": {cut: 2, fault: (*faultProxy).silenceOpen},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystemWithStoreProxies(t, 5, 3, 1)
			s.waitUntil("the processes have discovered each other", func() bool {
				for _, p := range s.all {
					if len(p.daemon.membership.All()) != len(s.all)-1 {
						return false
					}
				}
				return true
			})
			l := s.watchers()
			s.waitUntil("the first two processes watch, and no others", func() bool {
				for i, p := range l {
					if p.daemon.watchTimeout() > 0 != (i < watcherCount) {
						return false
					}
				}
				return true
			})
			time.Sleep(time.Second) // They have a watch each.
			s.waitUntil("the processes to cut off have renewed their leases", func() bool {
				for _, p := range l[:x.cut] {
					if s.kv.sinceRenewal(memberPrefix+p.settings["vm"]) > 200*time.Millisecond {
						return false
					}
				}
				return true
			})
			for _, p := range l[:x.cut] {
				x.fault(s.storeProxies[p.settings["vm"]])
				time.Sleep(x.gap)
			}
			s.manifest("k2")
			confirmed := time.Now()
			for _, p := range l[x.cut:] {
				for p.daemon.manifestVersion() < uint64(s.version) {
					if time.Since(confirmed) > waitTimeout {
						t.Fatalf("%s has no new manifest after %v", p.settings["vm"], waitTimeout)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
			d := time.Since(confirmed)
			t.Logf("the manifest is in force after %v", d.Round(time.Millisecond))
			if d > applyTime {
				t.Errorf("the processes that reach the service serve an older manifest for %v, want %v at most", d.Round(time.Millisecond), applyTime)
			}
		})
	}
}
