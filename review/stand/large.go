package main

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// caseLarge kills one data process, and starts it again, after a lot with large results was read.
func caseLarge(s *system) int {
	const count, events, size = 200, 180, 1024
	s.plainRunners(func(*http.Request) reply {
		return reply{status: http.StatusOK, events: events, size: size}
	})
	s.configure(3, service, route("r-lots", host, "/lotroute/", "batch", service, batch(110)))
	if !s.start() {
		return failed
	}
	if s.submit(s.entries[0], "/lotroute/", "lot1", items("lot1", "/lotroute/", count, 60000)) != http.StatusAccepted {
		return failed
	}
	_, first := s.readAll("lot1", 40*time.Second)
	s.record.line("%d of %d results were read", len(first), count)
	if len(first) < count {
		return failed
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		p := s.replicas()[1]
		s.kill(p)
		time.Sleep(2800 * time.Millisecond)
		s.launch(p, false)
	}
	time.Sleep(8 * time.Second) // catchUpS is 4.6 s, stableMs 3 s.
	code, again := s.readAll("lot1", 10*time.Second)
	if len(again) < count {
		s.record.line("BROKEN: %d of %d results that had been read come again; the last answer was %d", len(again), count, code)
		return broken
	}
	for i := range first {
		if again[i] != first[i] {
			s.record.line("BROKEN: position %d has changed", i)
			return broken
		}
	}
	return held
}

// replicas returns the data processes that hold a lot, by the size of their folders, the largest first.
func (s *system) replicas() []*process {
	l := slices.Clone(s.data)
	slices.SortFunc(l, func(a, b *process) int { return int(folderSize(b.folder) - folderSize(a.folder)) })
	return l
}

func folderSize(d string) (n int64) {
	l, _ := filepath.Glob(filepath.Join(d, "*"))
	for _, x := range l {
		if i, err := os.Stat(x); err == nil {
			n += i.Size()
		}
	}
	return n
}
