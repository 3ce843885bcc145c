package poison

import (
	"fmt"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestNewSuspectIsKept guards against a full shard that evicts a part as its crash is added, because all crashes came at one
// moment.
func TestNewSuspectIsKept(t *testing.T) {
	for name, x := range map[string]struct {
		age    time.Duration // Of the crashes that fill the shard.
		merged bool          // The crashes of the part come in reports.
	}{
		"older crashes":                {age: time.Second},
		"all at once":                  {},
		"all at once, in reports":      {merged: true},
		"older crashes, then a report": {age: time.Second, merged: true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 400 { // The order of a map is random.
				s := &shard{suspects: map[key]*suspect{}, ends: &ends{}}
				now := time.Now()
				for i := range maxSuspects {
					s.find(key{part: uint64(i)}, false).add(crash{server: uint64(i), at: now.Add(-x.age)}, now)
				}
				for i := range uint64(minServers) {
					p := prompt("d", fmt.Sprint("own-", i))
					if !x.merged {
						s.suspect(p, i, i, now)
						continue
					}
					var l []bulrushlug.Suspect
					for j, y := range p.Parts() {
						l = append(l, bulrushlug.NewSuspect(p.Scope(), y, j > 0, []bulrushlug.Crash{bulrushlug.NewCrash(i, i, p.Parts()[1], 0, 0)}, -1))
					}
					s.merge(l, now)
				}
				p := prompt("d")
				q := s.suspects[key{p.Scope(), p.Parts()[0]}]
				if q == nil {
					t.Fatal("the part with the most crashes was evicted")
				}
				if len(q.crashes) != minServers {
					t.Fatalf("%d crashes of the part", len(q.crashes))
				}
			}
		})
	}
}
