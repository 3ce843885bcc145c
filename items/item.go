package items

import (
	"context"
	"strings"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lots"
)

// shard holds items by lot and number.
type shard struct {
	mu    sync.Mutex
	items map[key]*item
}

type key struct {
	lot  string
	item uint32
}

// item is one item that was started; the lock of its shard guards it.
type item struct {
	text    []string // Data of the events that arrived, from event 1 on.
	failed  int      // Runs that the server answered with a failure.
	pause   time.Duration
	next    time.Time          // The item isn't started before.
	server  string             // Backend server that runs it; empty while none does.
	started time.Time          // Start of the present run.
	stop    context.CancelFunc // Ends the present run.
	yielded bool               // The present run was ended to make room.
}

// sweep stops the items of lots that are over or unsure, and forgets those of lots that are over here.
func (s *shard) sweep(h *lots.ReplicaManager) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, x := range s.items {
		run, keep := h.Ownership(k.lot)
		switch {
		case x.server != "" && !run:
			x.stop()
		case x.server == "" && !keep:
			delete(s.items, k)
		}
	}
}

// gather adds the event id to x, which must follow the events before.
func (s *shard) gather(x *item, id uint64, data []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != uint64(len(x.text))+1 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d follows event %d", id, len(x.text))
	}
	x.text = append(x.text, strings.Join(data, "\n"))
	return nil
}
