package items

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// Causes for which an accepted item gets no event and is not listed.
const (
	waitReplicas      = "replicas"      // The replicas of its lot have not agreed lately that this process may run it.
	waitConfiguration = "configuration" // This process does not know the configuration yet under which the lot was accepted.
	waitBackoff       = "backoff"       // Its last run failed.
	waitQuarantine    = "quarantine"    // Servers ended on its prompt.
	waitSlot          = "slot"          // Its service has no slot for it.
	waitRunning       = "running"       // Its run goes on beyond the time in which an event is due.
	waitUnconfirmed   = "unconfirmed"   // It has a result that not all replicas have.
)

const (
	countInterval = time.Second     // Time between two counts of the items that wait.
	waitLineAfter = 5 * time.Second // Time without an event after which an item gets a line, and the time between two lines on it.
	maxWaitLines  = 10              // Lines a second on items that wait for one cause.
	// runGrace is the time after the one in which an event is due for a run to end.
	runGrace = time.Second
)

// waits counts the items that wait by cause, and writes lines on those that have waited long. One goroutine counts.
type waits struct {
	logger  log.Logger
	counted time.Time         // Begin of the last count.
	since   map[key]*waitTime // Items that waited at the last count.
	mu      sync.Mutex
	counts  map[string]int     // By cause, at the last count; guarded by mu.
	longest map[string]float64 // Seconds of the longest wait by cause, at the last count; guarded by mu.
}

// waitTime is the wait of an item: since its last event, or since this process first saw that it has none.
type waitTime struct {
	begun      time.Time
	cause      string
	causeSince time.Time
	lot        bulrushlug.Lot
	reason     error // Says more of the cause; nil if there is no more to say.
	logged     time.Time
	counted    time.Time // The last count in which it waited.
}

// wait is a wait that may get a line.
type wait struct {
	key key
	*waitTime
}

func newWaits(l log.Logger) *waits { return &waits{logger: l, since: map[key]*waitTime{}} }

// count is one count of the items that wait; a nil count adds nothing.
type count struct {
	waits  *waits
	now    time.Time
	counts map[string]int
	oldest map[string]time.Time
	due    map[string][]wait // Waits that are due for a line, by cause.
}

// begin returns a new count, or nil if the last one was made less than countInterval ago.
func (w *waits) begin(now time.Time) *count {
	if now.Sub(w.counted) < countInterval {
		return nil
	}
	w.counted = now
	return &count{waits: w, now: now, counts: map[string]int{}, oldest: map[string]time.Time{}, due: map[string][]wait{}}
}

// keep has the wait of item i of lot x go on, if it waited at the last count, as its run has had no event yet.
func (n *count) keep(x bulrushlug.Lot, i uint32) {
	if n == nil {
		return
	}
	if t := n.waits.since[key{x.ID(), i}]; t != nil {
		t.counted = n.now
	}
}

// add counts item i of lot x, which waits for the given cause; reason says more of it, and may be nil. The item had its last
// event at the given time, zero if this process knows of none.
func (n *count) add(cause string, x bulrushlug.Lot, i uint32, event time.Time, reason error) {
	if n == nil {
		return
	}
	k := key{x.ID(), i}
	t := n.waits.since[k]
	if t == nil {
		t = &waitTime{begun: n.now}
		n.waits.since[k] = t
	}
	if event.After(t.begun) || t.counted.IsZero() && !event.IsZero() {
		t.begun = event
	}
	if t.cause != cause {
		t.cause, t.causeSince = cause, n.now
	}
	t.lot, t.reason, t.counted = x, reason, n.now
	n.counts[cause]++
	if o, ok := n.oldest[cause]; !ok || t.begun.Before(o) {
		n.oldest[cause] = t.begun
	}
	if n.now.Sub(t.begun) >= waitLineAfter && n.now.Sub(t.logged) >= waitLineAfter {
		n.due[cause] = append(n.due[cause], wait{k, t})
	}
}

// addAll counts the given items of lot x.
func (n *count) addAll(cause string, x bulrushlug.Lot, items []uint32) {
	if n == nil {
		return
	}
	for _, i := range items {
		n.add(cause, x, i, time.Time{}, nil)
	}
}

// end makes the count the last one and writes its lines. detail returns the rest of a line on an item that waits, and ended
// tells how the wait of another one ended.
func (n *count) end(detail func(w wait) []any, ended func(k key) string) {
	if n == nil {
		return
	}
	for _, c := range slices.Sorted(maps.Keys(n.due)) {
		n.log(c, detail)
	}
	for k, t := range n.waits.since {
		if t.counted.Equal(n.now) {
			continue
		}
		delete(n.waits.since, k)
		if !t.logged.IsZero() {
			_ = n.waits.logger.Log("event", "itemWaitEnded", "lot", k.lot, "request", t.lot.Items()[k.item].ID(), "by", ended(k), "cause", t.cause, "for", n.now.Sub(t.begun))
		}
	}
	longest := map[string]float64{}
	for c, t := range n.oldest {
		longest[c] = n.now.Sub(t).Seconds()
	}
	n.waits.mu.Lock()
	defer n.waits.mu.Unlock()
	n.waits.counts, n.waits.longest = n.counts, longest
}

// log writes lines on the longest waits for cause c that are due for one, and one line on all waits for c if some get none.
func (n *count) log(c string, detail func(w wait) []any) {
	l := n.due[c]
	omitted := max(0, len(l)-maxWaitLines)
	if omitted > 0 {
		_ = n.waits.logger.Log("event", "itemsWait", "cause", c, "items", n.counts[c], "longest", n.now.Sub(n.oldest[c]), "omitted", omitted)
		slices.SortFunc(l, func(a, b wait) int {
			return cmp.Or(a.begun.Compare(b.begun), cmp.Compare(a.key.lot, b.key.lot), cmp.Compare(a.key.item, b.key.item))
		})
	}
	for _, w := range l[:len(l)-omitted] {
		w.logged = n.now
		m := []any{"event", "itemWaits", "lot", w.key.lot, "request", w.lot.Items()[w.key.item].ID(), "route", w.lot.Route(), "cause", c,
			"for", n.now.Sub(w.begun), "causeFor", n.now.Sub(w.causeSince), "omitted", omitted}
		if w.reason != nil {
			m = append(m, "reason", w.reason)
			if d := bulrushlug.RetryAfterOf(w.reason); d > 0 {
				m = append(m, "until", n.now.Add(d).UTC().Format(time.RFC3339))
			}
		}
		_ = n.waits.logger.Log(append(m, detail(w)...)...)
	}
}

// byCause returns the number of items that waited at the last count, by cause.
func (w *waits) byCause() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.counts)
}

// longestByCause returns the seconds of the longest wait at the last count, by cause.
func (w *waits) longestByCause() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.longest)
}
