package items

import (
	"expvar"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// maxLines is the number of lines a second; runs that end beyond that are counted only.
const maxLines = 20

// endings counts the runs that end without a result by cause, and writes a line for each of them.
type endings struct {
	counts  *expvar.Map // By cause.
	logger  log.Logger
	mu      sync.Mutex
	second  time.Time // Begin of the current second.
	lines   int       // Lines in the current second, at most maxLines.
	omitted int       // Runs without a line since the last line.
}

// record counts a run that ended for the given cause; l is the rest of its line.
func (e *endings) record(cause string, l ...any) {
	e.counts.Add(cause, 1)
	n, ok := e.take(time.Now())
	if !ok {
		return
	}
	_ = e.logger.Log(append([]any{"event", "itemRunEnded", "cause", cause, "omitted", n}, l...)...)
}

// take reports whether a line may be written, and the number of runs without one since the last line.
func (e *endings) take(now time.Time) (omitted int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.second) >= time.Second {
		e.second, e.lines = now, 0
	}
	if e.lines == maxLines {
		e.omitted++
		return 0, false
	}
	e.lines++
	omitted, e.omitted = e.omitted, 0
	return omitted, true
}
