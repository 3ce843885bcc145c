package fleet

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	liveTimeout   = 3500 * time.Millisecond // Age of the last report from which a server no longer counts as live.
	forgetAfter   = 60 * time.Second        // Age of the last report after which a server is removed.
	minBackOff    = time.Second             // Back-off after the first failure; it doubles with each further one.
	maxBackOff    = 8 * time.Second         // Longest back-off.
	latencyWeight = 0.2                     // Weight of the newest value in the moving average of the latency.
)

// server is the state of one backend server; the shard's lock guards it.
type server struct {
	load            bulrushlug.LoadReport
	reportedAt      time.Time     // When the last report arrived.
	inFlight        int           // Running requests from this entry.
	sentSinceReport int           // Requests from this entry since the last report.
	latency         time.Duration // Moving average of the time to the first data of a response; zero before the first response.
	failures        int           // Consecutive failures since the last response.
	backOffUntil    time.Time     // Other servers are preferred until then.
}

// report stores l if it is newer, and reports whether what the server offers has changed.
func (s *server) report(l bulrushlug.LoadReport) bool {
	same := l.Boot() == s.load.Boot()
	if same && l.Sequence() <= s.load.Sequence() {
		return false
	}
	if !same {
		s.failures, s.backOffUntil = 0, time.Time{}
	}
	changed := !same || !equal(l.Models(), s.load.Models()) || !equal(l.Services(), s.load.Services())
	s.load, s.reportedAt, s.sentSinceReport = l, time.Now(), 0
	return changed
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// loadPerSlot estimates the requests for each slot of the server; batch items count only if batch is true.
func (s *server) loadPerSlot(batch bool) float64 {
	n := max(int(s.load.Online()+s.load.Queued())+s.sentSinceReport, s.inFlight)
	if batch {
		n += int(s.load.Batch())
	}
	return float64(n) / float64(max(1, s.load.Slots()))
}

func (s *server) backOff() {
	s.failures++
	w := minBackOff << min(s.failures-1, 3)
	s.backOffUntil = time.Now().Add(min(w, maxBackOff))
}

func (s *server) observeLatency(d time.Duration) {
	s.failures = 0
	if s.latency == 0 {
		s.latency = d
		return
	}
	s.latency += time.Duration(latencyWeight * float64(d-s.latency))
}
