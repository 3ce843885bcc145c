package main

import (
	"fmt"
	"net/http"
	"time"
)

// plainRunners starts three runners, one in each zone, that answer with a short stream.
func (s *system) plainRunners(f func(r *http.Request) reply) {
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		s.runners = append(s.runners, startRunner(s.store, s.record, service, fmt.Sprintf("i-%d", i+1), z, f))
	}
}

// short is a short stream.
func short(*http.Request) reply {
	return reply{status: http.StatusOK, events: 10, size: 40, gap: 20 * time.Millisecond}
}

// readAll reads the results of a lot from position 0 on until all are there or d is over; it asks the entries in turn.
func (s *system) readAll(id string, d time.Duration) (int, []result) {
	var l []result
	last := 0
	for end, k := time.Now().Add(d), 0; time.Now().Before(end); k++ {
		code, g := s.read(s.entries[k%len(s.entries)], id, len(l))
		last = code
		l = append(l, g.Results...)
		if code == http.StatusOK && len(l) >= g.Total {
			return code, l
		}
		if len(g.Results) == 0 {
			time.Sleep(400 * time.Millisecond)
		}
	}
	return last, l
}
