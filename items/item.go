package items

import (
	"context"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lots"
)

// shard holds a part of the items, by lot and index.
type shard struct {
	mu    sync.Mutex
	items map[key]*item
}

type key struct {
	lot  string
	item uint32
}

// item is the state of one started item, guarded by the lock of its shard.
type item struct {
	text      uint64   // Identifies the events; no other process, and no other item, has this text.
	events    []string // Data of the events received, from event 1 on; only ever gets longer.
	failures  int      // Runs that the server answered with status 500.
	backoff   time.Duration
	notBefore time.Time          // Earliest time of the next run.
	server    string             // Backend server of the current run; empty between runs.
	started   time.Time          // Start of the current run.
	cancel    context.CancelFunc // Cancels the current run.
	preempted bool               // The current run was cancelled for an online request.
	due       time.Time          // When the item is due.
	pace      *pace              // Pace of the items of its route.
}

// sweep cancels runs whose lot this process may not run, and deletes items of lots that it need not keep.
func (s *shard) sweep(h *lots.ReplicaManager) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, x := range s.items {
		run, keep := h.Ownership(k.lot)
		switch {
		case x.server != "" && !run:
			x.cancel()
		case x.server == "" && !keep:
			delete(s.items, k)
		}
	}
}

// appendEvent adds event id to x; identifiers must be consecutive, and the data UTF-8, as callers read it in JSON.
func (s *shard) appendEvent(x *item, id uint64, data []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != uint64(len(x.events))+1 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d follows event %d", id, len(x.events))
	}
	d := strings.Join(data, "\n")
	if !utf8.ValidString(d) {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d is not UTF-8", id)
	}
	x.events = append(x.events, d)
	return nil
}
