package slots

import (
	"expvar"
	"fmt"
	"time"
)

// bucketLimits are the upper bounds of the buckets of times, in milliseconds.
var bucketLimits = [...]int64{50, 100, 200, 300, 500, 1000}

// histogram has the names of the counts of one time, one for each bucket and one for what exceeds all. They are made once, as
// times are counted for each request.
type histogram [len(bucketLimits) + 1]string

var (
	newsMs      = newHistogram("newsMs")
	firstIdleMs = newHistogram("firstIdleMs")
	firstBusyMs = newHistogram("firstBusyMs")
)

func newHistogram(n string) (h histogram) {
	for i, x := range bucketLimits {
		h[i] = fmt.Sprint(n, x)
	}
	h[len(bucketLimits)] = n + "More"
	return h
}

// bucket returns the name of the count of d.
func (h *histogram) bucket(d time.Duration) string {
	for i, x := range bucketLimits {
		if d.Milliseconds() <= x {
			return h[i]
		}
	}
	return h[len(bucketLimits)]
}

// metrics counts placements; its names are bounded.
type metrics struct{ counts *expvar.Map }

func newMetrics() metrics { return metrics{new(expvar.Map).Init()} }

// observe counts d in h.
func (m metrics) observe(h *histogram, d time.Duration) { m.counts.Add(h.bucket(d), 1) }

// observeFirst counts the time d to a first event at a server that had an idle slot when it was chosen, or had none.
func (m metrics) observeFirst(idle bool, d time.Duration) {
	if idle {
		m.observe(&firstIdleMs, d)
		return
	}
	m.observe(&firstBusyMs, d)
}

// Counts returns the counts of placements: those by the mean age of the reports known (newsMs), servers that were full
// although chosen (chosenFull), and first events by the time to them, at servers that had an idle slot when they were
// chosen (firstIdleMs) and at the others (firstBusyMs).
func (t *Table) Counts() *expvar.Map { return t.metrics.counts }
