package main

import (
	"bytes"
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

// caseRetire has the operator empty a machine with a disk, while another such machine is down for 2.8 s.
func caseRetire(s *system) int {
	const lots, per, rounds, prefix = 100, 10, 3, "/lotroute/"
	s.addData("storage-zone-a-2", "zone-a")
	s.plainRunners(func(*http.Request) reply {
		return reply{status: http.StatusOK, events: 10, size: 40, gap: 5 * time.Millisecond}
	})
	s.configure(3, service, route("r-lots", host, prefix, "batch", service, batch(110)))
	if !s.start() {
		return failed
	}
	for i := range lots {
		id := fmt.Sprintf("lot%d", i)
		l := items(id, prefix, per, 300)
		for n := range l {
			l[n].Body = bytes.Repeat([]byte("body "), 3000) // 15 KB, the mean of the site.
		}
		if s.submit(s.entries[i%2], prefix, id, l) != http.StatusAccepted {
			return failed
		}
	}
	if !waitFor(30*time.Second, func() bool {
		_, g := s.read(s.entries[0], fmt.Sprintf("lot%d", lots-1), 0)
		return len(g.Results) == per
	}) {
		return failed
	}
	time.Sleep(5 * time.Second)
	for i := range rounds {
		s.empty(i)
	}
	time.Sleep(10 * time.Second) // catchUpS is 4.6, stableMs 3,000.
	lost := 0
	for i := range lots {
		id := fmt.Sprintf("lot%d", i)
		if code, l := s.readAll(id, 4*time.Second); len(l) < per {
			s.record.line("BROKEN: %s, accepted and complete before, can't be read: %d", id, code)
			if lost++; lost == 4 {
				break
			}
		}
	}
	if lost > 0 {
		return broken
	}
	return held
}

// addData adds a data process, which is not started.
func (s *system) addData(name, zone string) *process {
	p := freePorts(2)
	x := &process{name: name, role: "data", zone: zone, listen: p[0], metric: p[1], folder: filepath.Join(s.folder, name)}
	s.data = append(s.data, x)
	return x
}

// empty has the oldest of four machines emptied while the next one is down; it is removed then, and an empty one is added.
func (s *system) empty(round int) {
	a, b := s.data[0], s.data[1]
	s.store.set("op/retire/"+a.name, map[string]any{"deadlineS": 10})
	s.record.line("operator: %s is to be emptied", a.name)
	if s.trouble {
		s.kill(b)
		time.Sleep(2800 * time.Millisecond)
		s.launch(b, false)
	}
	done := waitFor(12*time.Second, func() bool { return string(s.store.get("status/retire/"+a.name)) == `{"state":"completed"}` })
	s.record.line("%s is empty: %v", a.name, done)
	if done {
		s.kill(a)
	}
	time.Sleep(5 * time.Second) // catchUpS is 4.6.
	x := s.addData(fmt.Sprintf("%s-%d", a.name, round), a.zone)
	s.launch(x, false)
	s.data = append(s.data[2:len(s.data)-1], x, b)
	if !done {
		s.data = append(s.data, a)
	}
	time.Sleep(6 * time.Second)
}
