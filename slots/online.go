package slots

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

// candidate is a server that may be chosen for a request.
type candidate struct {
	shard    *shard
	id       string
	score    float64 // The lowest score wins.
	idle     bool    // The server has an idle slot.
	places   int     // Online requests that the server may have; zero for a batch item.
	fallback bool    // The server is chosen only if no other can be.
}

// better reports whether c is preferred to d.
func (c candidate) better(d candidate) bool {
	if d.shard == nil || c.fallback != d.fallback {
		return d.shard == nil || d.fallback
	}
	return c.score < d.score
}

// AcquireOnline reserves a slot for an online request at a server of service v, and returns the VMs of the processes
// that run batch items there.
//
// Servers in skip are left out, and servers in back-off are used only if there is no other. Leaving servers are a last
// resort, used only if the service has no other server. If no server has capacity, the reservation is nil.
func (t *Table) AcquireOnline(v string, skip map[string]bool) (l *Reservation, vms []string) {
	// A choice is made again if other requests have taken the last place or what the gate admits there, or the server is gone.
	for {
		f := filter{service: v, skip: skip, gate: t.gate, now: time.Now()}
		best := t.chooseOnline(&f, t.places(f.now))
		if best.shard == nil {
			return nil, nil
		}
		if l := t.reserve(best, f, false); l != nil {
			t.metrics.observe(&newsMs, best.shard.age(best.id, f.now))
			return l, best.shard.batchVMs(best.id, f.now)
		}
	}
}

// chooseOnline returns the server for an online request; f is widened until it selects one that has capacity.
func (t *Table) chooseOnline(f *filter, p *places) candidate {
	best := t.bestOnline(*f, p)
	f.all = true
	if best.shard == nil && p.nearby(f.service) != nil {
		best = t.bestOnline(*f, p)
	}
	if best.shard == nil {
		f.backoff = true
		best = t.bestOnline(*f, p)
	}
	if best.shard == nil && !t.staying(f.service) {
		f.leaving = true
		best = t.bestOnline(*f, p)
	}
	return best
}

// bestOnline returns the server with the lowest score of all shards.
func (t *Table) bestOnline(f filter, p *places) (best candidate) {
	for i := range t.shards {
		if c, ok := t.shards[i].bestOnline(f, t.chooser, p, i); ok && c.better(best) {
			best = c
		}
	}
	return best
}

// bestOnline returns the server of shard i with the lowest score.
func (s *shard) bestOnline(f filter, x bulrushlug.Chooser, p *places, i int) (best candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(f.now)
	consider := func(id string, e *entry) {
		if !f.selects(e, s.leaving[id]) {
			return
		}
		l := s.load(e, p, f.now)
		n := capacity(l.Slots())
		if l.Own()+l.Others() >= n {
			return
		}
		c := candidate{shard: s, id: id, score: x.Score(l), idle: l.Idle(), places: n}
		if c.better(best) {
			best, ok = c, true
		}
	}
	if m := p.nearby(f.service); m != nil && !f.all {
		for _, id := range m[i] {
			if e, ok := s.entries[id]; ok {
				consider(id, e)
			}
		}
		return best, ok
	}
	for id, e := range s.entries {
		consider(id, e)
	}
	return best, ok
}

// load returns what this process knows of the load of the server of e; the caller has removed expired reports.
func (s *shard) load(e *entry, p *places, now time.Time) bulrushlug.ServerLoad {
	r := s.totals[e.backend.ID()]
	return bulrushlug.NewServerLoad(int(e.backend.Slots()), e.online, r.online, e.batch+r.batch).
		WithSpeed(e.eventInterval, e.connected(now)).
		WithNews(p.distance(e.backend.ID()), r.answers.Plus(e.answers.at(now)), p.fleetAnswers())
}

// connected reports whether this process has an idle connection to the server.
func (e *entry) connected(now time.Time) bool { return e.idle > 0 && now.Before(e.idleUntil) }
