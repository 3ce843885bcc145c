package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// caseSpoiled has one runner of three spoil a byte in one of fifty of its answers.
func caseSpoiled(s *system) int {
	const lots, per, prefix = 15, 10, "/lotroute/"
	s.plainRunners(short)
	bad := s.runners[1]
	count := 0
	var mu sync.Mutex
	spoiled := map[string]bool{}
	var first time.Time
	bad.behave = func(r *http.Request) reply {
		a := short(r)
		mu.Lock()
		defer mu.Unlock()
		if first.IsZero() {
			first = time.Now()
		}
		if count++; s.trouble && count%50 == 20 && time.Since(first) < 5500*time.Millisecond {
			a.spoil = 5
			spoiled[r.Header.Get("X-Attempt-Id")] = true
			s.record.line("runner %s will spoil one byte of event 5 of %s", bad.id, r.Header.Get("X-Attempt-Id"))
		}
		return a
	}
	s.configure(3, service, route("r-lots", host, prefix, "batch", service, batch(110)))
	if !s.start() {
		return failed
	}
	for i := range lots {
		id := fmt.Sprintf("lot%d", i)
		if s.submit(s.entries[i%2], prefix, id, items(id, prefix, per, 300)) != http.StatusAccepted {
			return failed
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(40 * time.Second) // dueMs is 18 s, finishS 18 s.
	missing := 0
	for i := range lots {
		id := fmt.Sprintf("lot%d", i)
		_, l := s.readAll(id, 4*time.Second)
		listed := map[string]bool{}
		for _, x := range l {
			listed[x.ID] = true
		}
		for _, x := range items(id, prefix, per, 300) {
			if !listed[x.ID] && !spoiled[x.ID] {
				s.record.line("BROKEN: item %s is not listed; no answer to it was spoiled, and %d runs of it have begun", x.ID, len(runsOf(s.runners, x.ID)))
				missing++
			}
		}
	}
	s.record.line("%d answers were spoiled, %d other items are not listed", len(spoiled), missing)
	if missing > 0 {
		return broken
	}
	return held
}
