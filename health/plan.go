// Package health decides which backend servers this process asks for their health, so that all processes together ask each
// server at a steady rate.
//
// It answers the load of servers that turn cold while all processes send to them: a server can say so only to one that asks,
// and its registration says it a heartbeat later.
package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

// maxForgotten is the number of servers that left after which those known are divided again.
const maxForgotten = 64

// Plan divides the servers among the processes by rendezvous hashing, without messages.
type Plan struct {
	self     bulrushlug.Member
	interval time.Duration       // Time between two checks of a server.
	alive    []bulrushlug.Member // The processes among which mine divides the servers.
	mine     map[place]bool      // Servers that were divided, and whether they are this process's.
}

// place is what decides which process checks a server.
type place struct{ id, zone string }

// New returns the plan of the process self; each server is checked once in an interval of d.
func New(self bulrushlug.Member, d time.Duration) *Plan {
	return &Plan{self: self, interval: d, mine: map[place]bool{}}
}

// Share returns the servers of l that this process checks: those of its own zone for which it ranks first among the live
// processes of the zone, and those of zones without a live process for which it ranks first among all. alive has the live
// processes, with or without this one. Processes that disagree on them check some servers twice or, until the next report, not
// at all.
//
// It is called from one goroutine, with alive in the same order each time.
func (p *Plan) Share(l []bulrushlug.Backend, alive []bulrushlug.Member) (mine []bulrushlug.Backend) {
	if !slices.Equal(alive, p.alive) || len(p.mine) > maxForgotten+2*len(l) {
		p.alive, p.mine = slices.Clone(alive), map[place]bool{}
	}
	var unknown []bulrushlug.Backend
	for _, b := range l {
		if own, ok := p.mine[place{b.ID(), b.Zone()}]; !ok {
			unknown = append(unknown, b)
		} else if own {
			mine = append(mine, b)
		}
	}
	if len(unknown) == 0 {
		return mine
	}
	first := p.divide(unknown, alive)
	for _, b := range unknown {
		p.mine[place{b.ID(), b.Zone()}] = false
	}
	for _, b := range first {
		p.mine[place{b.ID(), b.Zone()}] = true
	}
	return append(mine, first...)
}

// divide returns the servers of l that this process checks.
func (p *Plan) divide(l []bulrushlug.Backend, alive []bulrushlug.Member) (mine []bulrushlug.Backend) {
	all := []string{p.self.Name()}
	zones := map[string][]string{p.self.Zone(): {p.self.Name()}}
	for _, m := range alive {
		if m.Name() == p.self.Name() {
			continue
		}
		all = append(all, m.Name())
		zones[m.Zone()] = append(zones[m.Zone()], m.Name())
	}
	for _, b := range l {
		candidates, ok := zones[b.Zone()]
		if !ok {
			candidates = all
		} else if b.Zone() != p.self.Zone() {
			continue
		}
		if rank.First(b.ID(), candidates, func(string) bool { return true }) == p.self.Name() {
			mine = append(mine, b)
		}
	}
	return mine
}

// Offset returns how long after the start of an interval server b is checked, so that a process spreads its checks.
func (p *Plan) Offset(b bulrushlug.Backend) time.Duration {
	return time.Duration(xxhash.Sum64String(b.ID()) % uint64(p.interval))
}
