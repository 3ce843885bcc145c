package proxy

import (
	"sync/atomic"
	"time"
)

const (
	// stallTimeout is the time without an event after which a stream has stalled; callers wait for two seconds or longer.
	stallTimeout = 2 * time.Second
	stallGaps    = 8 // Length of a stall in the longest pauses that the route allows, if that is more.
)

// watchdog detects streams that have stalled: the next event does not arrive although the caller reads.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	cut   atomic.Bool // The stream can resume at another server, so it is cut when it has stalled.
}

// newWatchdog returns a watchdog for a stream whose events should be at most gap apart; f is called when it has stalled.
func newWatchdog(gap time.Duration, f func(cut bool)) *watchdog {
	w := &watchdog{limit: max(stallTimeout, stallGaps*gap)}
	w.timer = time.AfterFunc(w.limit, func() { f(w.cut.Load()) })
	w.timer.Stop()
	return w
}

// start begins the wait for the next event.
func (w *watchdog) start(cut bool) {
	w.cut.Store(cut)
	w.timer.Reset(w.limit)
}

// stop ends the wait.
func (w *watchdog) stop() { w.timer.Stop() }
