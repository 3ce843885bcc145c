package slots

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Explain returns what AcquireOnline would think of each server of service v now, the server that would be chosen first.
// Scores have a random part, which differs each time.
func (t *Table) Explain(v string) (l []bulrushlug.Prospect) {
	f := filter{service: v, now: time.Now(), gate: t.gate}
	p := t.places(f.now)
	best := t.chooseOnline(&f, p)
	for i := range t.shards {
		l = append(l, t.shards[i].explain(f, t.chooser, p, best)...)
	}
	slices.SortFunc(l, func(a, b bulrushlug.Prospect) int {
		return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.Score(), b.Score()), strings.Compare(a.Backend().ID(), b.Backend().ID()))
	})
	return l
}

// rankOf orders the chosen server before the others, and these before the excluded ones.
func rankOf(p bulrushlug.Prospect) int {
	switch {
	case p.IsChosen():
		return 0
	case p.Reason() == "":
		return 1
	}
	return 2
}

// explain returns what f and x make of the servers of the shard, where best is chosen.
func (s *shard) explain(f filter, x bulrushlug.Chooser, p *places, best candidate) (l []bulrushlug.Prospect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(f.now)
	for id, e := range s.entries {
		if e.backend.Service() != f.service {
			continue
		}
		y := s.load(e, p, f.now)
		r := bulrushlug.NewProspect(e.backend, y, s.totals[id].age(f.now.Sub(s.start)))
		switch n := s.exclusionBy(f, e); {
		case s == best.shard && id == best.id:
			r = r.Scored(best.score).Chosen(f.rule())
		case n != "":
			r = r.Excluded(n)
		case y.Own()+y.Others() >= capacity(y.Slots()):
			r = r.Excluded(reasonFull)
		default:
			r = r.Scored(x.Score(y))
		}
		l = append(l, r)
	}
	return l
}

// rule returns what decides among the servers that f selects.
func (f filter) rule() string {
	switch {
	case f.leaving:
		return "lastResort"
	case f.backoff:
		return "lowestScoreInBackOff"
	}
	return "lowestScore"
}
