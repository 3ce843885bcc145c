package items

import (
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug/lines"
)

// maxLines is the number of lines a second; runs that end beyond that are counted only.
const maxLines = 20

// endings counts the runs that end without a result by cause, and writes a line for each of them.
type endings struct {
	counts  *expvar.Map // By cause.
	logger  log.Logger
	limiter *lines.Limiter
	mu      sync.Mutex
	omitted map[string]int // Runs without a line since the last line, by cause.
}

func newEndings(counts *expvar.Map, l log.Logger) *endings {
	return &endings{counts: counts, logger: l, limiter: lines.New(maxLines), omitted: map[string]int{}}
}

// record counts a run that ended for the given cause; l is the rest of its line.
func (e *endings) record(cause string, l ...any) {
	e.counts.Add(cause, 1)
	n, ok := e.limiter.Take()
	o := e.omit(cause, ok)
	if !ok {
		return
	}
	_ = e.logger.Log(append([]any{"event", "itemRunEnded", "cause", cause, "omitted", n, "omittedCauses", o}, l...)...)
}

// omit returns the causes of the runs without a line since the last one and forgets them if there is a line now, and adds
// cause to them otherwise.
func (e *endings) omit(cause string, line bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !line {
		e.omitted[cause]++
		return ""
	}
	var l []string
	for _, c := range slices.Sorted(maps.Keys(e.omitted)) {
		l = append(l, fmt.Sprint(c, ":", e.omitted[c]))
	}
	clear(e.omitted)
	return strings.Join(l, ",")
}
