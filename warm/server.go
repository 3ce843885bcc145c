package warm

import (
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	// window is the time in which admissions at a cold server are counted: the second in which its bound holds, and what
	// a request may take from its admission to the server.
	window = 1250 * time.Millisecond
	// restartWait is the time after its start in which a process sends nothing to cold servers; with the restart itself it
	// is longer than a second, in which the process may have sent to them before.
	restartWait = 500 * time.Millisecond
	// reportLag is how long a server may be cold before its registration says so.
	reportLag = 1500 * time.Millisecond
	// suspectMargin is added to the time for which a server is cold after a start, for one that no connection reached: it
	// may have started any time after that.
	suspectMargin = 2 * time.Second
	maxGap        = time.Second // Time without a Tick after which this process was stopped.
	suspectTime   = time.Second // Time for which a failed connection is reported.
	forgetTimeout = time.Minute // Time after which a server that is not on the list is forgotten: entries that were lost in an outage come back.
	maxSuspects   = 64          // Servers in one report.
	saidTime      = time.Second // Time for which reports carry what a server said of itself.
	// maxSaid is the longest time for which a server is taken to be cold because it said so; it may say it again.
	maxSaid = time.Minute
)

// shard holds a part of the servers.
type shard struct {
	mu      sync.Mutex
	servers map[string]*server // By identifier.
}

// server is what this process knows of a backend server.
type server struct {
	backend     bulrushlug.Backend // As registered last.
	coldUntil   time.Time          // The server counts as cold before this time.
	closedUntil time.Time          // Nothing is admitted before this time while it is cold.
	failed      time.Time          // When this process could last make no connection.
	reporter    string             // VM of the process that last reported the same, at reported.
	reported    time.Time
	said        time.Time   // When the server last told this process itself that it is cold.
	unlisted    time.Time   // When the server was gone from the list; zero while it is on it.
	sent        []time.Time // Admissions within window while the server counts as cold or the process as blind, oldest first.
	seat        bool        // This process holds a seat, as of version and seats.
	version     uint64      // Version of the members; zero before the first.
	seats       int         // Seats of the server.
}

// chillUntil lets x count as cold until t.
func (x *server) chillUntil(g *Gate, t time.Time) {
	if t.After(x.coldUntil) {
		x.coldUntil = t
		g.extend(t)
	}
}

// turnCold records that x is cold for d from now on, and reports whether it counted as warm before.
func (x *server) turnCold(g *Gate, d time.Duration, now time.Time) (turned bool) {
	turned = !now.Before(x.coldUntil)
	if turned {
		// All processes have sent to it without a bound.
		x.closedUntil = now.Add(window)
	}
	x.chillUntil(g, now.Add(d))
	return turned
}

// update records the registration b; first means that this process has just begun to know
// servers, and may have sent requests before it was restarted.
func (s *shard) update(g *Gate, b bulrushlug.Backend, first bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[b.ID()]
	if !ok || !x.backend.SameInstance(b) {
		y := &server{backend: b}
		if first && b.ColdTime() > 0 {
			y.closedUntil = now.Add(restartWait)
		}
		s.servers[b.ID()] = y
		y.chillUntil(g, now.Add(max(b.ColdTime(), reportLag)))
		return
	}
	if b.Revision() > x.backend.Revision() && b.ColdTime() > 0 {
		x.turnCold(g, b.ColdTime(), now)
	}
	x.backend, x.unlisted = b, time.Time{}
}

// forget removes the servers that have not been listed for forgetTimeout.
func (s *shard) forget(listed map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.servers {
		switch {
		case listed[id]:
		case x.unlisted.IsZero():
			x.unlisted = now
		case now.Sub(x.unlisted) > forgetTimeout:
			delete(s.servers, id)
		}
	}
}

// chill lets the servers of the given zones count as cold from now on.
func (s *shard) chill(g *Gate, zones []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		if v, ok := g.service(x.backend); ok && slices.Contains(zones, x.backend.Zone()) {
			x.chillUntil(g, now.Add(v.ColdTime()))
		}
	}
}

// chillAll lets all servers count as cold for as long as registrations may lag.
func (s *shard) chillAll(g *Gate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		if _, ok := g.service(x.backend); ok {
			x.chillUntil(g, now.Add(reportLag))
		}
	}
}

// suspect records that the process on VM vm, or this one if vm is empty, could make no connection to the server.
func (s *shard) suspect(g *Gate, id, vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[id]
	if !ok {
		return
	}
	v, ok := g.service(x.backend)
	if !ok {
		return
	}
	if vm == "" {
		x.failed = now
	} else {
		alone := now.Sub(x.failed) >= suspectTime && (x.reporter == vm || now.Sub(x.reported) >= suspectTime)
		x.reporter, x.reported = vm, now
		if alone {
			return
		}
	}
	x.chillUntil(g, now.Add(v.ColdTime()+suspectMargin))
}

// recordCold records that the server said that it stays cold for d, to this process itself if own is set; it reports whether
// the server counted as warm before.
func (s *shard) recordCold(g *Gate, id string, d time.Duration, own bool, now time.Time) (turned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[id]
	if !ok || d <= 0 {
		return false
	}
	if _, ok := g.service(x.backend); !ok {
		return false
	}
	if own {
		x.said = now
	}
	return x.turnCold(g, min(d, maxSaid), now)
}

// told returns the servers that lately told this process that they are cold, and for how long they stay so.
func (s *shard) told(now time.Time) (l []bulrushlug.ColdServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.servers {
		if !x.said.IsZero() && now.Sub(x.said) < saidTime && now.Before(x.coldUntil) {
			l = append(l, bulrushlug.NewColdServer(id, x.coldUntil.Sub(now)))
		}
	}
	return l
}

// listedWarm returns the listed servers that need warm-up and count as warm, are not draining and not in an evacuated zone.
func (s *shard) listedWarm(g *Gate, now time.Time) (l []bulrushlug.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		b := x.backend
		if _, ok := g.service(b); ok && x.unlisted.IsZero() && !now.Before(x.coldUntil) && !b.Draining() && !g.Evacuated(b.Zone()) {
			l = append(l, b)
		}
	}
	return l
}

func (s *shard) suspects(now time.Time) (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.servers {
		if !x.failed.IsZero() && now.Sub(x.failed) < suspectTime {
			l = append(l, id)
		}
	}
	return l
}

func (s *shard) cold(now time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.servers {
		if now.Before(x.coldUntil) {
			n++
		}
	}
	return n
}

// admit reports whether one more request may go to the server of service v, and counts it if count is set.
func (s *shard) admit(g *Gate, id string, v bulrushlug.Service, now time.Time, count bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.servers[id]
	if !ok {
		return true
	}
	n, bounded := x.allowance(g, v, now)
	if !bounded {
		return true
	}
	x.sent = slices.DeleteFunc(x.sent, func(t time.Time) bool { return now.Sub(t) >= window })
	if len(x.sent) >= n {
		return false
	}
	if count {
		x.sent = append(x.sent, now)
	}
	return true
}

// allowance returns the requests that this process may send to x within window; bounded is false if x is warm.
func (x *server) allowance(g *Gate, v bulrushlug.Service, now time.Time) (n int, bounded bool) {
	if !now.Before(x.coldUntil) && !g.blind(now) {
		return 0, false
	}
	p := divide(g.warmup.Requests(v.ColdRate()), g.batch)
	if now.Before(x.closedUntil) || !x.holdsSeat(g, p) {
		return 0, true
	}
	return p.share, true
}
