package slots

import (
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// WithStartRule has the processes that run batch items divide the idle slots of each server by r; if it is nil, they take
// them by rank alone.
func WithStartRule(r bulrushlug.StartRule) option { return func(t *Table) { t.starts = r } }

// StartsHeld returns the number of times that an idle slot was left to another process.
func (t *Table) StartsHeld() uint64 { return t.startsHeld.Load() }

// mayStart reports whether a batch item may start in one of n idle slots of e; the caller holds the lock.
func (t *Table) mayStart(e *entry, o *ranking, n int, now time.Time) bool {
	id := e.backend.ID()
	if t.starts == nil {
		return o.isFirst(id) || now.Sub(e.started) >= startInterval
	}
	w := t.starts.Window()
	e.starts = slices.DeleteFunc(e.starts, func(b time.Time) bool { return now.Sub(b) >= w })
	// Slots that this process took in the window are part of what was divided.
	if len(e.starts) < t.starts.Share(o.order[id], n+len(e.starts)) {
		return true
	}
	t.startsHeld.Add(1)
	return false
}

// countStart records a start of a batch item in a slot that mayStart allowed.
func (t *Table) countStart(c candidate, now time.Time) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if e, ok := c.shard.entries[c.id]; ok && t.starts != nil {
		e.starts = append(e.starts, now)
	}
}
