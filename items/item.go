package items

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memory"
)

const (
	maxTextBytes  = lots.MaxPageBytes // Bytes of the text of an item; a result that fits no page can't be read.
	eventOverhead = 32                // Memory for an event besides its data.
	// spareEvents is the number of events that a response may have beyond one for each token that its request allows.
	spareEvents = 16
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
	events    []string // Data of the events received, from event 1 on; only gets longer, unless the text is dropped.
	textBytes int      // Bytes of the text, the line feeds between its events included.
	unframed  bool     // A response that is not framed ended after the last event.
	emptyRuns int      // Runs after that which brought nothing.
	reserved  int      // Bytes reserved for the text.
	failures  int      // Runs that the server answered with status 500.
	backoff   time.Duration
	notBefore time.Time          // Earliest time of the next run.
	server    string             // Backend server of the current run; empty between runs.
	started   time.Time          // Start of the current run.
	cancel    context.CancelFunc // Cancels the current run.
	preempted bool               // The current run was cancelled for an online request.
	eventAt   time.Time          // When this process received the last event; zero before the first one.
	runs      int                // Runs that this process started.
	ended     ending             // End of the last run.
	due       time.Time          // When the item is due.
	pace      *pace              // Pace of the items of its route.
}

// ending is the end of a run.
type ending struct {
	cause, server string
	at            time.Time // Zero if no run has ended.
}

// newItem returns an item with no events.
func newItem() *item { return &item{text: rand.Uint64()} }

// add adds an event with data d to the text; it fails with ErrOversized if the text is too large or m has no memory for it.
func (x *item) add(d string, m *memory.Budget) error {
	n := x.textBytes + len(d) + 1
	if n > maxTextBytes {
		return bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("text of more than %d bytes", maxTextBytes), bulrushlug.ErrOversized)
	}
	if !m.Hold(&x.reserved, n+(len(x.events)+1)*eventOverhead) {
		return bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("no memory for a text of %d bytes or more", n), bulrushlug.ErrOversized)
	}
	x.textBytes = n
	x.events = append(x.events, d)
	x.unframed, x.emptyRuns = false, 0
	return nil
}

// drop discards the text and gives its memory back to m; the next run begins another text.
func (x *item) drop(m *memory.Budget) {
	m.Release(&x.reserved)
	x.text, x.events, x.textBytes = rand.Uint64(), nil, 0
	x.unframed, x.emptyRuns = false, 0
}

// adopt takes over the events l of another process, or none of them if there is no memory for all.
func (x *item) adopt(l []string, m *memory.Budget) {
	for _, d := range l {
		if x.add(d, m) != nil {
			x.drop(m)
			return
		}
	}
}

// sweep cancels runs whose lot this process may not run, and deletes items of lots that it need not keep, whose memory goes
// back to m.
func (s *shard) sweep(h *lots.ReplicaManager, m *memory.Budget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, x := range s.items {
		run, keep := h.Ownership(k.lot)
		switch {
		case x.server != "" && !run:
			x.cancel()
		case x.server == "" && !keep:
			x.drop(m)
			delete(s.items, k)
		}
	}
}

// appendEvent adds event id to x, whose response may have as many tokens as p says; identifiers must be consecutive, and the
// data UTF-8, as callers read it in JSON.
func (s *shard) appendEvent(x *item, id uint64, data []string, p bulrushlug.Prompt, m *memory.Budget) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != uint64(len(x.events))+1 {
		return bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("event %d follows event %d", id, len(x.events)), errSequence)
	}
	if n := p.MaxTokens(); n > 0 && id > n+spareEvents {
		return bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("event %d of a response of at most %d tokens", id, n), bulrushlug.ErrOversized)
	}
	d := strings.Join(data, "\n")
	if !utf8.ValidString(d) {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d is not UTF-8", id)
	}
	if err := x.add(d, m); err != nil {
		return err
	}
	x.eventAt = time.Now()
	return nil
}
