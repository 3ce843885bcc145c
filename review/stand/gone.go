package main

import (
	"net/http"
	"time"
)

// caseGone removes the batch route after the results of a lot were read.
func caseGone(s *system) int {
	s.plainRunners(short)
	other := route("r-chat", "chat.example", "/chat/", "streaming", service, nil)
	lots := route("r-lots", host, "/lotroute/", "batch", service, batch(60))
	s.configure(3, service, other, lots)
	if !s.start() {
		return failed
	}
	sent := time.Now()
	if s.submit(s.entries[0], "/lotroute/", "lot1", items("lot1", "/lotroute/", 10, 300)) != http.StatusAccepted {
		return failed
	}
	if _, l := s.readAll("lot1", 15*time.Second); len(l) < 10 {
		return failed
	}
	if s.trouble {
		s.configure(7, service, other)
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for time.Since(sent) < 25*time.Second {
		for _, e := range s.entries {
			if n, _ := s.read(e, "lot1", 0); n == http.StatusNotFound || n == http.StatusGone {
				s.record.line("BROKEN: %d for lot1, %.1f s after it was sent; statusTtlS is %g", n, time.Since(sent).Seconds(), s.status)
				lost++
			}
		}
		time.Sleep(time.Second)
	}
	if lost > 0 {
		return broken
	}
	return held
}
