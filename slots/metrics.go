package slots

import (
	"expvar"
	"fmt"
	"time"
)

// bucketLimits are the upper bounds of the buckets of times, in milliseconds.
var bucketLimits = []int64{50, 100, 200, 300, 500, 1000}

// metrics counts placements; its names are bounded.
type metrics struct{ counts *expvar.Map }

func newMetrics() metrics { return metrics{new(expvar.Map).Init()} }

// observe counts d under name n and the bucket that holds d.
func (m metrics) observe(n string, d time.Duration) {
	for _, x := range bucketLimits {
		if d.Milliseconds() <= x {
			m.counts.Add(fmt.Sprint(n, x), 1)
			return
		}
	}
	m.counts.Add(n+"More", 1)
}

// observeFirst counts the time d to a first event at a server that had an idle slot when it was chosen, or had none.
func (m metrics) observeFirst(idle bool, d time.Duration) {
	if idle {
		m.observe("firstIdleMs", d)
		return
	}
	m.observe("firstBusyMs", d)
}

// Counts returns the counts of placements: those by the mean age of the reports known (newsMs), servers that were full
// although chosen (chosenFull), and first events by the time to them, at servers that had an idle slot when they were
// chosen (firstIdleMs) and at the others (firstBusyMs).
func (t *Table) Counts() *expvar.Map { return t.metrics.counts }
