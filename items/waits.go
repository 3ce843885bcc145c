package items

import (
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lines"
)

// Causes for which an item without a result does not run.
const (
	waitReplicas      = "replicas"      // The replicas of its lot have not agreed lately that this process may run it.
	waitConfiguration = "configuration" // This process does not know the configuration yet under which the lot was accepted.
	waitBackoff       = "backoff"       // Its last run failed.
	waitQuarantine    = "quarantine"    // Servers ended on its prompt.
	waitSlot          = "slot"          // Its service has no slot for it.
)

const (
	countInterval = time.Second      // Time between two counts of the items that wait.
	waitLineAfter = 10 * time.Second // Time without a run after which an item gets a line.
)

// waits counts the items that wait by cause, and writes a line for each that has waited long for something else than a slot.
// One goroutine counts.
type waits struct {
	logger  log.Logger
	limiter *lines.Limiter
	counted time.Time        // Begin of the last count.
	since   map[key]waitTime // Items that waited at the last count.
	mu      sync.Mutex
	counts  map[string]int // By cause, at the last count; guarded by mu.
}

// waitTime is how long an item has waited without a run.
type waitTime struct {
	begun  time.Time
	logged bool
}

func newWaits(l log.Logger) *waits { return &waits{logger: l, limiter: lines.New(maxLines)} }

// count is one count of the items that wait; a nil count adds nothing.
type count struct {
	waits  *waits
	now    time.Time
	since  map[key]waitTime
	counts map[string]int
}

// begin returns a new count, or nil if the last one was made less than countInterval ago.
func (w *waits) begin(now time.Time) *count {
	if now.Sub(w.counted) < countInterval {
		return nil
	}
	w.counted = now
	return &count{waits: w, now: now, since: map[key]waitTime{}, counts: map[string]int{}}
}

// add counts item i of lot x, which waits for the given cause.
func (n *count) add(cause string, x bulrushlug.Lot, i uint32) {
	if n == nil {
		return
	}
	n.counts[cause]++
	k := key{x.ID(), i}
	t, ok := n.waits.since[k]
	if !ok {
		t.begun = n.now
	}
	if d := n.now.Sub(t.begun); d > waitLineAfter && !t.logged && cause != waitSlot {
		if omitted, ok := n.waits.limiter.Take(); ok {
			t.logged = true
			_ = n.waits.logger.Log("event", "itemWaits", "lot", k.lot, "request", x.Items()[i].ID(), "cause", cause, "for", d, "omitted", omitted)
		}
	}
	n.since[k] = t
}

// addAll counts the given items of lot x.
func (n *count) addAll(cause string, x bulrushlug.Lot, items []uint32) {
	for _, i := range items {
		n.add(cause, x, i)
	}
}

// end makes the count the last one.
func (n *count) end() {
	if n == nil {
		return
	}
	n.waits.since = n.since
	n.waits.mu.Lock()
	defer n.waits.mu.Unlock()
	n.waits.counts = n.counts
}

// byCause returns the number of items that waited at the last count, by cause.
func (w *waits) byCause() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.counts)
}
