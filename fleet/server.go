package fleet

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	liveTime    = 3500 * time.Millisecond // Age of the last report up to which a server is live.
	knownTime   = 60 * time.Second        // Age of the last report after which a server is forgotten.
	firstPause  = time.Second             // Time for which a server is passed over after a failure.
	longestWait = 8 * time.Second         // Bound of that time, which doubles with each failure.
	smoothing   = 0.2                     // Weight of the newest answer in the mean delay.
)

// server is what an entry knows of one backend server; the shard's lock guards it.
type server struct {
	load  bulrushlug.Load
	seen  time.Time     // When the last report came.
	open  int           // Requests from this entry that run there.
	sent  int           // Requests from this entry since the last report.
	delay time.Duration // Smoothed time to the first piece of an answer; zero if there was none.
	fails int           // Failures since the last answer.
	avoid time.Time     // The server is passed over until then.
}

// report takes in a newer load report, and says whether what the server offers has changed.
func (s *server) report(l bulrushlug.Load) bool {
	same := l.Boot() == s.load.Boot()
	if same && l.Sequence() <= s.load.Sequence() {
		return false
	}
	if !same {
		s.fails, s.avoid = 0, time.Time{}
	}
	changed := !same || !equal(l.Models(), s.load.Models()) || !equal(l.Services(), s.load.Services())
	s.load, s.seen, s.sent = l, time.Now(), 0
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

// busy estimates how many requests the server has for each slot; batch items count only for batch.
func (s *server) busy(batch bool) float64 {
	n := max(int(s.load.Online()+s.load.Queued())+s.sent, s.open)
	if batch {
		n += int(s.load.Batch())
	}
	return float64(n) / float64(max(1, s.load.Slots()))
}

func (s *server) fail() {
	s.fails++
	w := firstPause << min(s.fails-1, 3)
	s.avoid = time.Now().Add(min(w, longestWait))
}

func (s *server) answered(d time.Duration) {
	s.fails = 0
	if s.delay == 0 {
		s.delay = d
		return
	}
	s.delay += time.Duration(smoothing * float64(d-s.delay))
}
