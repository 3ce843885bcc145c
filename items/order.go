package items

import (
	"cmp"
	"sync"
	"time"
)

const (
	paceWeight = 0.1 // Smoothing factor of the moving averages.
	// listingTime is how long a result takes from the server to its caller: it is replicated and then read.
	listingTime = 500 * time.Millisecond
)

// order decides which items start first.
//
// Load pattern: a burst of lots, or an outage that ends, leaves more items than the slots can complete in time. In the
// order of their due times alone each item would start when it is about to be late, and nearly all would be late. So
// items that can't be completed in time any more come last; before them, the ones that have begun, which need the
// least, and then the others, earliest due time first.
func order(a, b task) int {
	return cmp.Or(compareBool(a.late, b.late), compareBool(b.begun, a.begun), a.due.Compare(b.due))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// pace estimates how long items run, from those that were completed.
type pace struct {
	mu       sync.Mutex
	events   float64 // Moving average of the events of an item; zero before the first one.
	interval float64 // Moving average of the seconds between two events.
}

// observe records a run that completed an item of n events, of which it received m in d.
func (p *pace) observe(n, m int, d time.Duration) {
	if m == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	i := d.Seconds() / float64(m)
	if p.events == 0 {
		p.events, p.interval = float64(n), i
		return
	}
	p.events += paceWeight * (float64(n) - p.events)
	p.interval += paceWeight * (i - p.interval)
}

// late reports whether an item of which n events are there would be listed after due even if it started at time now
// and ran through; false before the first observation.
func (p *pace) late(n int, due, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := max(0, p.events-float64(n)) * p.interval
	return p.events > 0 && now.Add(time.Duration(left*float64(time.Second))+listingTime).After(due)
}
