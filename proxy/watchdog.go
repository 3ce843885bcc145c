package proxy

import "time"

const (
	// stallTimeout is the time without an event after which a stream has stalled; callers wait for two seconds or longer.
	stallTimeout = 2 * time.Second
	stallGaps    = 8 // Length of a stall in the longest pauses that the route allows, if that is more.
)

const (
	// silenceTimeout is the time without an event after which a stream has stalled if its server is silent on all streams of
	// this process and others are not.
	silenceTimeout = time.Second
	silenceGaps    = 4 // Length of that silence in the longest pauses that the route allows, if that is more.
)

// watchdog detects streams that have stalled: the next event does not arrive although the caller reads.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	early *time.Timer   // Ends before timer; nil if there is no evidence from other streams.
	quiet time.Duration // When early ends.
}

// newWatchdog returns a watchdog for a stream whose events should be at most gap apart; f is called when it has stalled.
func newWatchdog(gap time.Duration, f func()) *watchdog {
	w := &watchdog{limit: max(stallTimeout, stallGaps*gap)}
	w.timer = time.AfterFunc(w.limit, f)
	w.timer.Stop()
	return w
}

// listen makes f be called earlier if s reports that the server has been silent for that time.
func (w *watchdog) listen(gap time.Duration, s func(d time.Duration) bool, f func()) {
	w.quiet = max(silenceTimeout, silenceGaps*gap)
	w.early = time.AfterFunc(w.quiet, func() {
		if s(w.quiet) {
			f()
		}
	})
	w.early.Stop()
}

// start begins the wait for the next event; begun says that it is not the first one, for which a server that reads a long
// prompt is silent without a fault.
func (w *watchdog) start(begun bool) {
	w.timer.Reset(w.limit)
	if w.early != nil && begun {
		w.early.Reset(w.quiet)
	}
}

// stop ends the wait.
func (w *watchdog) stop() {
	w.timer.Stop()
	if w.early != nil {
		w.early.Stop()
	}
}
