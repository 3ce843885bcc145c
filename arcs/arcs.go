// Package arcs divides the places at backend servers among the processes that send requests to them.
//
// It answers many processes that choose at once from the same old reports: where each prefers places of its own, what
// it knows of them is exact, and no two of them overrun the server that looked least loaded.
package arcs

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Arc is the part of a ring of all places that one process prefers. The ring has the length 1; arcs are in the order of
// the names of their processes, and as long as the shares of these in the load.
type Arc struct {
	middle float64 // From 0 to 1.
	length float64 // Above 0; 1 if there is no other process.
}

// New returns the arc of process self, where each process has the given number of requests in progress. Without any, as
// after a restart of all processes, each has the whole ring around a point of its own.
func New(self string, load map[string]float64) Arc {
	before, all := 0.0, 0.0
	for n, x := range load {
		all += x
		if n < self {
			before += x
		}
	}
	own := load[self]
	if all == 0 {
		return Arc{middle: float64(xxhash.Sum64String(self)) / math.MaxUint64, length: 1}
	}
	return Arc{middle: (before + own/2) / all, length: max(own/all, 0.5/float64(len(load)))}
}

// Distance returns how far position x on the ring, from 0 to 1, is from the middle of the arc, in halves of the arc.
func (a Arc) Distance(x float64) float64 {
	d := max(x-a.middle, a.middle-x)
	return min(d, 1-d) * 2 / a.length
}

// Position returns the position of the middle of the arc in a list of n, which is the ring.
func (a Arc) Position(n int) int { return min(int(a.middle*float64(n)), n-1) }
