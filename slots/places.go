package slots

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/arcs"
)

const (
	placesInterval = 100 * time.Millisecond // Time after which places are divided again; reports are as frequent.
	// intervalPerServer lengthens that time, so that division takes a small part of a core whatever the number of servers.
	intervalPerServer = 100 * time.Microsecond
	// maxNear is the number of servers, around the middle of the arc of the process, that are looked at for one request,
	// before all of them are if none of these can be chosen.
	maxNear     = 256
	demandTime  = 3 * time.Second // Time constant of the average of a process's demand.
	leastDemand = 0.05            // Requests in progress below which a process gets no places of its own.
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
	version   uint64             // Version of the list of servers.
	expiry    time.Time          // When places are divided again.
	positions map[string]float64 // Of the servers on the rings of the places of each service; servers that get no requests have none.
	near      map[string]*[shardCount][]string
	arc       arcs.Arc
	answers   bulrushlug.Answers // Of all servers, when places were divided.
}

// ringServer is a server on the ring of its service, in the order of hashes.
type ringServer struct {
	hash        uint64
	id, service string
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

// nearby returns the servers of service v, by shard, that alone are looked at for a request; nil if all are.
func (p *places) nearby(v string) *[shardCount][]string {
	if p == nil {
		return nil
	}
	return p.near[v]
}

// places divides the places among the processes, unless that was done just now; it returns nil if the chooser does not
// need that.
func (t *Table) places(now time.Time) *places {
	if !t.chooser.NeedsNews() {
		return nil
	}
	v := t.version.Load()
	if p := t.division.Load(); p != nil && p.version == v && now.Before(p.expiry) {
		return p
	}
	p := &places{version: v, positions: map[string]float64{}, near: map[string]*[shardCount][]string{}}
	var l []ringServer
	own := 0
	for i := range t.shards {
		n, a, m := t.shards[i].survey(now)
		own += n
		p.answers = p.answers.Plus(a)
		l = append(l, m...)
	}
	t.shard(t.self).recordDemand(t.self, own, now)
	m := map[string]float64{}
	for i := range t.shards {
		t.shards[i].addDemands(m, now)
	}
	p.arc = arcs.New(t.self, m)
	p.expiry = now.Add(max(placesInterval, time.Duration(len(l))*intervalPerServer))
	slices.SortFunc(l, func(a, b ringServer) int {
		return cmp.Or(strings.Compare(a.service, b.service), cmp.Compare(a.hash, b.hash))
	})
	for len(l) > 0 {
		n := slices.IndexFunc(l, func(x ringServer) bool { return x.service != l[0].service })
		if n < 0 {
			n = len(l)
		}
		p.add(l[:n])
		l = l[n:]
	}
	t.division.Store(p)
	return p
}

// add adds the ring l of one service.
func (p *places) add(l []ringServer) {
	for i, x := range l {
		p.positions[x.id] = (float64(i) + 0.5) / float64(len(l))
	}
	if len(l) <= maxNear {
		return
	}
	m := &[shardCount][]string{}
	first := p.arc.Position(len(l)) - maxNear/2 + len(l)
	for i := range maxNear {
		x := l[(first+i)%len(l)]
		k := x.hash % shardCount
		m[k] = append(m[k], x.id)
	}
	p.near[l[0].service] = m
}

// survey returns the online requests of this process at the servers of the shard, the answers of these to all processes,
// and the servers that get requests.
func (s *shard) survey(now time.Time) (own int, a bulrushlug.Answers, l []ringServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for id, e := range s.entries {
		own += e.online
		a = a.Plus(e.answers.at(now)).Plus(s.totals[id].answers)
		if !e.backend.Draining() && s.leaving[id] == nil && !s.gate.Evacuated(e.backend.Zone()) {
			l = append(l, ringServer{xxhash.Sum64String(id), id, e.backend.Service()})
		}
	}
	return own, a, l
}
