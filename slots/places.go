package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/arcs"
)

const (
	placesInterval = 100 * time.Millisecond // Time after which places are divided again; reports are as frequent.
	demandTime     = 3 * time.Second        // Time constant of the average of a process's demand.
	leastDemand    = 0.05                   // Requests in progress below which a process gets no places of its own.
)

// demand is the average number of online requests that a process had in progress lately.
type demand struct {
	at     time.Time // Of the last report.
	online float64
}

// add adds n requests in progress to the average.
func (d *demand) add(n int, now time.Time) {
	w := min(1, now.Sub(d.at).Seconds()/demandTime.Seconds())
	d.online += w * (float64(n) - d.online)
	d.at = now
}

// recordDemand records that the process on VM vm has n online requests in progress.
func (s *shard) recordDemand(vm string, n int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.demands[vm]; ok {
		d.add(n, now)
	} else if n > 0 {
		s.demands[vm] = &demand{at: now, online: float64(n)}
	}
}

// addDemands adds the demands of the processes of which there are reports to m, and forgets the others.
func (s *shard) addDemands(m map[string]float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, d := range s.demands {
		if now.Sub(d.at) >= remoteTimeout {
			delete(s.demands, vm)
		} else if d.online >= leastDemand {
			m[vm] = d.online
		}
	}
}

// places tells how far each server is from the places that this process prefers; values are immutable.
type places struct {
	version   uint64 // Version of the list of servers.
	made      time.Time
	positions map[string]float64 // Of the servers on the ring of all places.
	arc       arcs.Arc
	answers   bulrushlug.Answers // Of all servers, when places were divided.
}

// distance returns how far server id is, in shares of one process.
func (p *places) distance(id string) float64 {
	if p == nil {
		return 0
	}
	return p.arc.Distance(p.positions[id])
}

// fleetAnswers returns the answers of all servers.
func (p *places) fleetAnswers() bulrushlug.Answers {
	if p == nil {
		return bulrushlug.Answers{}
	}
	return p.answers
}

// places divides the places among the processes, unless that was done just now; it returns nil if the chooser does not
// need that.
func (t *Table) places(now time.Time) *places {
	if !t.chooser.NeedsNews() {
		return nil
	}
	v := t.version.Load()
	p := t.division.Load()
	if p != nil && p.version == v && now.Sub(p.made) < placesInterval {
		return p
	}
	q := &places{version: v, made: now}
	own := 0
	for i := range t.shards {
		n, a := t.shards[i].sums(now)
		own += n
		q.answers = q.answers.Plus(a)
	}
	t.shard(t.self).recordDemand(t.self, own, now)
	m := map[string]float64{}
	for i := range t.shards {
		t.shards[i].addDemands(m, now)
	}
	q.arc = arcs.New(t.self, m)
	if p != nil && p.version == v {
		q.positions = p.positions
	} else {
		q.positions = t.positions()
	}
	t.division.Store(q)
	return q
}

// positions returns the positions of the servers on the ring of all places.
func (t *Table) positions() map[string]float64 {
	l := t.servers()
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	m := make(map[string]float64, len(l))
	for i, id := range l {
		m[id] = (float64(i) + 0.5) / float64(len(l))
	}
	return m
}

// sums returns the online requests of this process at the servers of the shard, and the answers of these to all
// processes.
func (s *shard) sums(now time.Time) (own int, a bulrushlug.Answers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for id, e := range s.entries {
		own += e.online
		a = a.Plus(e.answers.at(now)).Plus(s.totals[id].answers)
	}
	return own, a
}
