package warm

import (
	"slices"

	"bulrushlug.dev/bulrushlug/rank"
)

const (
	// maxSeats is the number of processes that send requests of callers to one cold server at most. With more, each share
	// of the bound would be idle for long; with few, the server would be, as their callers may have no request.
	maxSeats = 16
	// spareSeats fit into the bound besides those that are held, as processes may disagree on that many members.
	spareSeats = 2
	// batchSeats is the number of processes that start batch items at one cold server, one each. Items run for long, so
	// that a few starts fill the slots that online requests leave idle.
	batchSeats = 4
)

// partition is how the bound of a cold server is divided among the processes of one role.
type partition struct {
	seats int // Processes that hold a seat.
	share int // Requests for each of them.
}

// divide divides a bound of n requests among the processes that run batch items, if batch is set, or the others.
func divide(n int, batch bool) partition {
	b := max(0, min(batchSeats, n/batchSeats))
	if batch {
		return partition{b, 1}
	}
	n -= b
	// A bound of one or two has a seat too, as nobody would use the server otherwise; too little is left to spare then.
	return partition{min(maxSeats, max(min(1, n), n-spareSeats)), max(1, n/(maxSeats+spareSeats))}
}

// holdsSeat reports whether this process is one of the first p.seats members by rank for the server; the caller holds the
// lock of its shard. Members count whether they are heard or not.
func (x *server) holdsSeat(g *Gate, p partition) bool {
	l, version := g.members()
	if l == nil {
		return false
	}
	if x.version != version || x.seats != p.seats {
		o := rank.Order(x.backend.ID(), l)
		x.seat, x.version, x.seats = slices.Contains(o[:min(p.seats, len(o))], g.self), version, p.seats
	}
	return x.seat
}
