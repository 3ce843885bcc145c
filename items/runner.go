// Package items runs the items of lots in slots that online requests leave idle, and preempts them for online requests.
package items

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	shardCount     = 8
	pollInterval   = 200 * time.Millisecond // Time between checks for startable items; Wake triggers one at once.
	initialBackoff = 200 * time.Millisecond // First delay after a failed run; doubles with each further failure.
	maxBackoff     = 3 * time.Second
)

// Runner schedules the items of lots that this process is the primary of.
type Runner struct {
	manager *lots.ReplicaManager
	table   *slots.Table
	client  bulrushlug.BackendClient
	source  bulrushlug.ConfigSource
	logger  log.Logger
	endings *endings
	guard   *guard.Guard
	wake    chan struct{} // Holds a token while a check is due.
	runs    sync.WaitGroup
	mu      sync.Mutex
	paces   map[string]*pace // By route.
	shards  [shardCount]shard

	detector bulrushlug.PoisonDetector
	prompt   func(route string, l []bulrushlug.Field) bulrushlug.Prompt
	held     atomic.Int64 // Items that the detector held back at the last check.
	waits    *waits
	memory   *memory.Budget
}

// New returns a runner that takes lots from k, slots from t and routes from f, and sends items with c, unless d holds them
// back; p returns the prompt of an item with the given header fields, and counts holds the runs without a result by cause.
// Responses hold what m allows.
func New(k *lots.ReplicaManager, t *slots.Table, c bulrushlug.BackendClient, f bulrushlug.ConfigSource, d bulrushlug.PoisonDetector,
	p func(route string, l []bulrushlug.Field) bulrushlug.Prompt, g *guard.Guard, l log.Logger, counts *expvar.Map, m *memory.Budget) *Runner {
	r := &Runner{manager: k, table: t, client: c, source: f, guard: g, logger: l, endings: newEndings(counts, l), wake: make(chan struct{}, 1), paces: map[string]*pace{},
		detector: d, prompt: p, waits: newWaits(l), memory: m}
	for i := range r.shards {
		r.shards[i].items = map[key]*item{}
	}
	return r
}

func (r *Runner) shard(k key) *shard { return &r.shards[xxhash.Sum64String(k.lot)%shardCount] }

// Wake triggers a check for startable items.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run starts items until c ends, then cancels those that run and waits for their end.
func (r *Runner) Run(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-r.wake:
		case <-time.After(pollInterval):
		case <-c.Done():
		}
		r.schedule(c)
	}
	r.runs.Wait()
	return nil
}

// task is an item that may be started.
type task struct {
	lot   bulrushlug.Lot
	item  uint32
	route bulrushlug.Route
	// services are those that may run the item, the preferred ones first.
	services []string
	due      time.Time
	late     bool      // The item can't be completed by its due time.
	begun    bool      // Some of its events are there.
	eventAt  time.Time // When this process received its last event; zero for none.
}

// pace returns the pace of the items of route n.
func (r *Runner) pace(n string) *pace {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.paces[n]
	if !ok {
		p = &pace{}
		r.paces[n] = p
	}
	return p
}

// schedule starts startable items in their order while their service has idle slots.
func (r *Runner) schedule(c context.Context) {
	n := r.waits.begin(time.Now())
	l := r.collect(c, n)
	slices.SortStableFunc(l, order)
	full := map[string]bool{}
	for _, w := range l {
		s := r.acquire(w.services, full)
		if s == nil {
			n.add(waitSlot, w.lot, w.item, w.eventAt, nil)
			continue
		}
		r.startRun(c, w, s)
		n.keep(w.lot, w.item)
	}
	n.end(r.waitDetail, r.waitEnd)
}

// acquire reserves a slot at the first service in l that has one, and adds those without one to full.
func (r *Runner) acquire(l []string, full map[string]bool) *slots.Reservation {
	for _, v := range l {
		if full[v] {
			continue
		}
		if s := r.table.AcquireBatch(v); s != nil {
			return s
		}
		full[v] = true
	}
	return nil
}

// collect returns the startable items, gives up those whose route is gone or whose retention has ended, and cancels
// runs of lots that this process may no longer run. Lots that were accepted under a newer configuration than its own wait.
// Items that are not startable are added to m.
func (r *Runner) collect(c context.Context, m *count) (l []task) {
	now := time.Now()
	f := r.source.Config()
	held := int64(0)
	if m != nil {
		r.manager.EachHeld(func(x bulrushlug.Lot, left []uint32) { m.addAll(waitReplicas, x, left) })
		r.manager.EachUnconfirmed(func(x bulrushlug.Lot, l []uint32) { m.addAll(waitUnconfirmed, x, l) })
	}
	r.manager.EachRunnable(func(x bulrushlug.Lot, left []uint32) {
		if f == nil || f.Revision() < x.Revision() {
			m.addAll(waitConfiguration, x, left)
			return
		}
		t, ok := f.RouteOfLot(x)
		retention, age := max(t.Retention(), x.Retention()), now.Sub(x.ReceivedAt())
		switch {
		case !ok:
			r.giveUp(c, x, left, "its route was removed", "route", x.Route(), "acceptedUnder", x.Revision(), "configuration", f.Revision())
			return
		case t.Retention() > 0 && age > retention:
			r.giveUp(c, x, left, "its retention has ended", "age", age, "retention", retention, "route", x.Route(), "acceptedUnder", x.Revision(), "configuration", f.Revision())
			return
		}
		v := services(t)
		for _, n := range left {
			if !r.startable(key{x.ID(), n}, now) {
				r.addUnstartable(m, x, n, now)
				continue
			}
			if err := r.detector.Check(r.prompt(t.Name(), x.Items()[n].Fields())); err != nil {
				held++
				m.add(waitQuarantine, x, n, r.eventAt(m, key{x.ID(), n}), err)
				continue
			}
			w := r.newTask(x, n, t, now)
			w.services = v
			l = append(l, w)
		}
	})
	r.held.Store(held)
	for i := range r.shards {
		r.shards[i].sweep(r.manager, r.memory)
	}
	return l
}

// giveUp gives up the given items of lot x; l is the rest of their lines.
func (r *Runner) giveUp(c context.Context, x bulrushlug.Lot, items []uint32, reason string, l ...any) {
	for _, n := range items {
		r.recordResult(c, key{x.ID(), n}, bulrushlug.NewLotResult(n, false, ""), reason, l...)
	}
}

// Waiting returns the number of items that wait, by cause.
func (r *Runner) Waiting() map[string]int { return r.waits.byCause() }

// LongestWaits returns the seconds of the longest wait of an item, by cause.
func (r *Runner) LongestWaits() map[string]float64 { return r.waits.longestByCause() }

// Held returns the number of items that wait because servers ended on their prompts.
func (r *Runner) Held() int64 { return r.held.Load() }

// newTask returns the task of item n of lot x, which is on route t.
func (r *Runner) newTask(x bulrushlug.Lot, n uint32, t bulrushlug.Route, now time.Time) task {
	events, at := r.eventCount(key{x.ID(), n})
	due := x.ReceivedAt().Add(t.Due())
	return task{lot: x, item: n, route: t, due: due, late: r.pace(t.Name()).late(events, due, now), begun: events > 0, eventAt: at}
}

// eventCount returns the number of events of an item that are on this process, and when it received the last one.
func (r *Runner) eventCount(k key) (int, time.Time) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.items[k]; ok {
		return len(x.events), x.eventAt
	}
	return 0, time.Time{}
}

// startable reports whether an item without a result is neither running nor in back-off.
//
// The result is looked up last: a run records its result before the item counts as no longer running. The replicas know of all
// failed runs before the next one, so that they bound the runs under each primary.
func (r *Runner) startable(k key, now time.Time) bool {
	failures, ok := r.idle(k, now)
	return ok && failures <= r.manager.ReplicatedFailures(k.lot, k.item) && !r.manager.HasResult(k.lot, k.item)
}

// idle reports whether an item is neither running nor in back-off, and returns its failed runs under this primary, or zero
// before the first run.
func (r *Runner) idle(k key, now time.Time) (failures int, ok bool) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[k]
	if !ok {
		return 0, true
	}
	return x.failures, x.server == "" && !now.Before(x.notBefore)
}

// services returns the services of t that take requests, those with the larger weights first; if all weights are zero, the
// first one, and without shares the name of t.
func services(t bulrushlug.Route) (l []string) {
	if len(t.Shares()) == 0 {
		return []string{t.Name()}
	}
	for _, s := range slices.SortedStableFunc(slices.Values(t.Shares()), func(a, b bulrushlug.Share) int { return cmp.Compare(b.Weight(), a.Weight()) }) {
		if s.Weight() > 0 {
			l = append(l, s.Service())
		}
	}
	if len(l) == 0 {
		l = []string{t.Shares()[0].Service()}
	}
	return l
}

// startRun runs w in the reserved slot s, resuming after the events that are known.
func (r *Runner) startRun(c context.Context, w task, s *slots.Reservation) {
	k := key{w.lot.ID(), w.item}
	c, stop := context.WithCancel(c)
	text := r.manager.Progress(k.lot, k.item)
	h := r.shard(k)
	h.mu.Lock()
	x, ok := h.items[k]
	if !ok {
		x = newItem()
		x.adopt(text, r.memory)
		x.failures = r.manager.Failures(k.lot, k.item)
		h.items[k] = x
	}
	x.runs++
	x.server, x.started, x.cancel, x.preempted = s.Backend().ID(), time.Now(), stop, false
	x.due, x.pace = w.due, r.pace(w.route.Name())
	h.mu.Unlock()
	if !ok && len(text) > 0 {
		_ = r.logger.Log("event", "itemTakenOver", "lot", k.lot, "request", w.lot.Items()[w.item].ID(), "events", len(text))
	}
	r.runs.Go(func() {
		defer stop()
		defer s.Release()
		r.run(c, w, x, s)
		h.mu.Lock()
		x.server = ""
		h.mu.Unlock()
		r.Wake()
	})
}

// recordResult stores a result in the lot's log; l is the rest of the line on an item that is given up.
func (r *Runner) recordResult(c context.Context, k key, x bulrushlug.LotResult, reason string, l ...any) {
	if !x.Completed() {
		_ = r.logger.Log(append([]any{"event", "itemGivenUp", "lot", k.lot, "item", k.item, "reason", reason}, l...)...)
	}
	r.manager.RecordResult(context.WithoutCancel(c), k.lot, x)
}

// Progress returns the events of item n that follow event after of the given text, or all of them if the item has another
// text.
func (r *Runner) Progress(lot string, n uint32, text, after uint64) bulrushlug.LotProgress {
	k := key{lot, n}
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[k]
	if !ok {
		return bulrushlug.LotProgress{}
	}
	if x.text != text {
		after = 0
	}
	return bulrushlug.NewLotProgress(n, x.text, after+1, slices.Clone(x.events[min(after, uint64(len(x.events))):]))
}

// victim is a run that may be preempted.
type victim struct {
	shard   *shard
	item    *item
	task    task
	started time.Time
}

// Preempt cancels runs at the backend server b, the last ones in the order of starts first, until n cancelled ones have yet
// to end; their items resume later after the last event.
func (r *Runner) Preempt(b string, n int) {
	now := time.Now()
	var l []victim
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, x := range s.items {
			switch {
			case x.server != b:
			case x.preempted:
				n--
			default:
				e := len(x.events)
				l = append(l, victim{s, x, task{due: x.due, late: x.pace.late(e, x.due, now), begun: e > 0}, x.started})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(l, func(a, b victim) int { return cmp.Or(order(b.task, a.task), b.started.Compare(a.started)) })
	for _, x := range l[:max(0, min(n, len(l)))] {
		x.shard.mu.Lock()
		if x.item.server == b {
			x.item.preempted = true
			x.item.cancel()
		}
		x.shard.mu.Unlock()
	}
}

// PreemptExcess preempts runs at servers where online requests need the slots, and triggers a check.
func (r *Runner) PreemptExcess() {
	for b, n := range r.table.Preemptions() {
		r.Preempt(b, n)
	}
	r.Wake()
}
