package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseRoute adds batch routes; batch submissions on them are accepted at once.
func caseRoute(s *system) int {
	s.plainRunners(short)
	l := []map[string]any{route("r-first", host, "/first/", "batch", service, batch(60))}
	const rounds = 10
	if !s.trouble {
		for i := range rounds {
			l = append(l, route(fmt.Sprintf("r-new%d", i), host, fmt.Sprintf("/new%d/", i), "batch", service, batch(60)))
		}
	}
	s.configure(3, service, l...)
	if !s.start() {
		return failed
	}
	type sent struct {
		id    string
		delay time.Duration // From the confirmation of the route to the submission.
	}
	var accepted []sent
	for i := range rounds {
		p := fmt.Sprintf("/new%d/", i)
		if s.trouble {
			l = append(l, route(fmt.Sprintf("r-new%d", i), host, p, "batch", service, batch(60)))
			s.configure(10+3*i, service, l...)
		}
		confirmed := time.Now()
		for k := range 12 {
			for j, e := range s.entries {
				id := fmt.Sprintf("lot%d-%d-%d", i, k, j)
				d := time.Since(confirmed)
				if s.submit(e, p, id, items(id, p, 3, 300)) == http.StatusAccepted {
					accepted = append(accepted, sent{id, d})
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return failed
	}
	time.Sleep(8 * time.Second)
	bad := 0
	for _, x := range accepted {
		code, g := s.read(s.entries[0], x.id, 0)
		if code != http.StatusOK {
			_, g = s.read(s.entries[1], x.id, 0)
		}
		for _, y := range g.Results {
			if y.State == "abandoned" && len(runsOf(s.runners, y.ID)) == 0 {
				s.record.line("BROKEN: item %s of %s is abandoned; it never ran, and its route is in force. The lot was sent %d ms after its route was confirmed", y.ID, x.id, x.delay.Milliseconds())
				bad++
			}
		}
	}
	s.record.line("%d batch submissions accepted, %d items abandoned without a run", len(accepted), bad)
	if bad > 0 {
		return broken
	}
	return held
}
