package items

import (
	"expvar"

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
}

func newEndings(counts *expvar.Map, l log.Logger) *endings {
	return &endings{counts: counts, logger: l, limiter: lines.New(maxLines)}
}

// record counts a run that ended for the given cause; l is the rest of its line.
func (e *endings) record(cause string, l ...any) {
	e.counts.Add(cause, 1)
	n, ok := e.limiter.Take()
	if !ok {
		return
	}
	_ = e.logger.Log(append([]any{"event", "itemRunEnded", "cause", cause, "omitted", n}, l...)...)
}
