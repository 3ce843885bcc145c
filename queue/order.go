package queue

import (
	"slices"
	"time"
)

// order returns the waiters in the order in which they get room: the organisation that got the least for its weight first,
// and within one the earliest deadline, an urgent request counting as earlier. A caller that returns after it was rejected
// has an earlier deadline than a new one.
//
// The waiters of one organisation alternate with those of others as they are charged, so the order is computed again after
// each.
func (q *Queue) order(l *line) []*waiter {
	used := map[string]float64{}
	for _, w := range l.waiters {
		if _, ok := used[w.Organisation()]; !ok {
			used[w.Organisation()] = q.shares.Used(w.Organisation())
		}
	}
	o := slices.Clone(l.waiters)
	slices.SortStableFunc(o, func(a, b *waiter) int {
		if x, y := used[a.Organisation()], used[b.Organisation()]; a.Organisation() != b.Organisation() && x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a.turn().Compare(b.turn())
	})
	return o
}

// turn returns the time by which waiters of one organisation are ordered.
func (w *waiter) turn() time.Time {
	t := w.Deadline()
	if t.IsZero() {
		t = w.since.Add(w.Patience())
	}
	return t.Add(time.Duration(w.Priority()) * urgencyStep)
}
