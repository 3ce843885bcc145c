package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// caseRetention submits lots of which one has an item that no runner can do, so that it is open until its retention ends.
func caseRetention(s *system) int {
	s.status = 55
	if n, err := strconv.Atoi(os.Getenv("STATUS")); err == nil {
		s.status = float64(n)
	}
	retention := s.status + 60
	const count = 20 // Batch submissions; one of them has an item that can't be done, a share of 0.05.
	s.plainRunners(func(r *http.Request) reply {
		if s.trouble && r.Header.Get("X-Token-Usage") == "100,199900" {
			return reply{refuse: true} // Larger than the runner's memory: refused as if the runner were full.
		}
		return short(r)
	})
	s.configure(3, service, route("r-lots", host, "/lotroute/", "batch", service, batch(retention)))
	if !s.start() {
		return failed
	}
	sent := time.Now()
	for i := range count {
		id := fmt.Sprintf("lot%d", i)
		l := items(id, "/lotroute/", 10, 300)
		if i == 1 {
			l[4].Headers["X-Token-Usage"] = "100,199900"
			l[4].Tokens = 200000
			sent = time.Now()
		}
		if s.submit(s.entries[i%2], "/lotroute/", id, l) != http.StatusAccepted {
			return failed
		}
	}
	_, r := s.readAll("lot1", 15*time.Second)
	s.record.line("%d of 10 results of lot1 listed", len(r))
	if len(r) < 9 {
		return failed
	}
	until := time.Duration(s.status+42) * time.Second
	if !s.trouble {
		until = time.Duration(s.status-2) * time.Second // All items are listed, so that the lot is readable until statusTtlS only.
	}
	lost := 0
	for time.Since(sent) < until {
		for _, e := range s.entries {
			if n, _ := s.read(e, "lot1", 0); n == http.StatusNotFound || n == http.StatusGone {
				s.record.line("BROKEN: %d for lot1, %.1f s after it was sent; one item is not listed, and its retention ends after %g s", n, time.Since(sent).Seconds(), retention)
				lost++
			}
		}
		time.Sleep(2 * time.Second)
	}
	if lost > 0 {
		return broken
	}
	return held
}
