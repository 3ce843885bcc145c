package slots

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/even"
)

// TestNearServers checks that of many servers only those near the places of the process are looked at, and all of them
// if none of these has capacity.
func TestNearServers(t *testing.T) {
	for name, x := range map[string]struct {
		servers int
		full    bool // Those near the places have no capacity.
		near    bool // The request goes to one of them.
	}{
		"few servers":             {servers: maxNear, near: true},
		"many servers":            {servers: 3 * maxNear, near: true},
		"many, the near are full": {servers: 3 * maxNear, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone, WithChooser(even.New()))
				var l []bulrushlug.Backend
				for i := range x.servers {
					l = append(l, backend(fmt.Sprint("s", i), 8))
				}
				b.Update(append(l, bulrushlug.NewBackend("other", "another service", "10.0.0.2:80")))
				p := b.places(time.Now())
				near := map[string]bool{}
				if m := p.nearby("s"); m != nil {
					for i, ids := range m {
						for _, id := range ids {
							if near[id] = true; b.shard(id) != &b.shards[i] {
								t.Errorf("%s is not in shard %d", id, i)
							}
						}
					}
					if len(near) != maxNear {
						t.Errorf("%d servers near", len(near))
					}
				}
				if x.full {
					var u []bulrushlug.Usage
					for id := range near {
						u = append(u, bulrushlug.NewUsage(id, 10, 0))
					}
					b.UpdateRemote("d", u)
				}
				r, _ := b.AcquireOnline("s", nil)
				if r == nil {
					t.Fatal("no server")
				}
				if id := r.Backend().ID(); len(near) > 0 && near[id] != x.near {
					t.Errorf("the request goes to %s, which is near: %v", id, near[id])
				}
			})
		})
	}
}

// TestPlacesAreDivided checks that each server that gets requests is preferred by one process, in proportion to their load.
func TestPlacesAreDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := map[string]int{"a": 4, "b": 12, "d": 8}
		preferred := map[string]string{}
		for vm := range load {
			b := New(vm, alone, WithChooser(even.New()))
			var l []bulrushlug.Backend
			for i := range 24 {
				l = append(l, backend(fmt.Sprint("s", i), 8))
			}
			b.Update(append(l, backend("draining", 8, bulrushlug.BackendDraining(true))))
			for o, n := range load {
				if o != vm {
					b.UpdateRemote(o, []bulrushlug.Usage{bulrushlug.NewUsage("s0", uint32(n), 0)})
				}
			}
			for range load[vm] {
				b.reserve(candidate{shard: b.shard("s0"), id: "s0"}, filter{}, false)
			}
			for id := range b.places(time.Now()).positions {
				if b.places(time.Now()).distance(id) > 1 {
					continue
				}
				if o, ok := preferred[id]; ok {
					t.Errorf("%s and %s prefer %s", o, vm, id)
				}
				preferred[id] = vm
			}
		}
		count := map[string]int{}
		for _, vm := range preferred {
			count[vm]++
		}
		for vm, n := range load {
			if count[vm] != n {
				t.Errorf("%s prefers %d servers, want %d", vm, count[vm], n)
			}
		}
	})
}
