// Package items runs the items of lots in the slots that online requests leave idle.
package items

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/stream"
)

const (
	shardCount = 8
	idleTime   = 200 * time.Millisecond // Time between looks for work where nothing wakes the runner.
	silence    = 3 * time.Second        // Time without an event after which a run is broken off and goes on elsewhere.
	firstPause = 200 * time.Millisecond // Pause of an item after a failed run, twice as long after each.
	maxPause   = 3 * time.Second
	statusDone = 200
	statusNot  = 422 // The item can never be done.
	statusFail = 500 // The run failed.
)

// Runner runs items.
type Runner struct {
	keeper *lots.ReplicaManager
	table  *slots.Table
	caller bulrushlug.BackendClient
	source bulrushlug.ConfigSource
	logger log.Logger
	wake   chan struct{} // Holds one token while there may be work.
	wait   sync.WaitGroup
	shards [shardCount]shard
}

// New returns a runner of the lots in k on the servers in t, by the routes in f.
func New(k *lots.ReplicaManager, t *slots.Table, c bulrushlug.BackendClient, f bulrushlug.ConfigSource, l log.Logger) *Runner {
	r := &Runner{keeper: k, table: t, caller: c, source: f, logger: l, wake: make(chan struct{}, 1)}
	for i := range r.shards {
		r.shards[i].items = map[key]*item{}
	}
	return r
}

func (r *Runner) shard(k key) *shard { return &r.shards[xxhash.Sum64String(k.lot)%shardCount] }

// Wake makes the runner look for work.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run starts items until c ends, and then breaks off those that run.
func (r *Runner) Run(c context.Context) error {
	for c.Err() == nil {
		select {
		case <-r.wake:
		case <-time.After(idleTime):
		case <-c.Done():
		}
		r.start(c)
	}
	r.wait.Wait()
	return nil
}

// work is an item that may be started.
type work struct {
	lot   bulrushlug.Lot
	item  uint32
	route bulrushlug.Route
	due   time.Time
}

// start starts all items for which there are idle slots, those due first before the others.
func (r *Runner) start(c context.Context) {
	l := r.ready(c)
	slices.SortStableFunc(l, func(a, b work) int { return a.due.Compare(b.due) })
	full := map[string]bool{}
	for _, w := range l {
		v := service(w.route)
		if full[v] {
			continue
		}
		s := r.table.AcquireBatch(v)
		if s == nil {
			full[v] = true
			continue
		}
		r.begin(c, w, s)
	}
}

// ready returns the items that may be started, gives up those that can't be done any more and stops those whose lot is over.
func (r *Runner) ready(c context.Context) (l []work) {
	now := time.Now()
	f := r.source.Config()
	r.keeper.EachRunnable(func(x bulrushlug.Lot, left []uint32) {
		if f == nil {
			return
		}
		t, ok := f.RouteNamed(x.Route())
		for _, n := range left {
			if !ok || t.Retention() > 0 && now.After(x.ReceivedAt().Add(t.Retention())) {
				r.finish(c, key{x.ID(), n}, bulrushlug.NewLotResult(n, false, ""), "its route or its time is over")
				continue
			}
			if r.idle(key{x.ID(), n}, now) {
				l = append(l, work{lot: x, item: n, route: t, due: x.ReceivedAt().Add(t.Due())})
			}
		}
	})
	for i := range r.shards {
		r.shards[i].sweep(r.keeper)
	}
	return l
}

// idle reports whether an item may be started now.
func (r *Runner) idle(k key, now time.Time) bool {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[k]
	return !ok || x.server == "" && !now.Before(x.next)
}

// service returns the service of t with the largest share.
func service(t bulrushlug.Route) string {
	l := t.Shares()
	if len(l) == 0 {
		return t.Name()
	}
	return slices.MaxFunc(l, func(a, b bulrushlug.Share) int { return cmp.Compare(a.Weight(), b.Weight()) }).Service()
}

// begin runs w at the server of s.
func (r *Runner) begin(c context.Context, w work, s *slots.Reservation) {
	k := key{w.lot.ID(), w.item}
	c, stop := context.WithCancel(c)
	text := r.keeper.Progress(k.lot, k.item)
	h := r.shard(k)
	h.mu.Lock()
	x, ok := h.items[k]
	if !ok {
		x = &item{text: text}
		h.items[k] = x
	}
	x.server, x.started, x.stop, x.yielded = s.Backend().ID(), time.Now(), stop, false
	h.mu.Unlock()
	r.wait.Go(func() {
		defer stop()
		defer s.Release()
		r.run(c, w, x, s)
		h.mu.Lock()
		x.server = ""
		h.mu.Unlock()
		r.Wake()
	})
}

// run makes one run of an item and decides what follows from its end.
func (r *Runner) run(c context.Context, w work, x *item, s *slots.Reservation) {
	k := key{w.lot.ID(), w.item}
	h := r.shard(k)
	i := w.lot.Items()[w.item]
	h.mu.Lock()
	q := bulrushlug.NewRequest(i.ID(), bulrushlug.WithOrganisation(w.lot.Organisation()), bulrushlug.WithBatch(w.lot.ID()),
		bulrushlug.WithCall("POST", i.Path(), "", i.Body()), bulrushlug.WithFields(w.lot.Host(), i.Fields()),
		bulrushlug.WithIdempotent(true), bulrushlug.WithStream(true), bulrushlug.WithResume(uint64(len(x.text))))
	h.mu.Unlock()
	status, err := r.exchange(c, h, x, s, q)
	if err == nil && status == statusDone {
		h.mu.Lock()
		text := strings.Join(x.text, "\n")
		h.mu.Unlock()
		r.finish(c, k, bulrushlug.NewLotResult(w.item, true, text), "")
		return
	}
	h.mu.Lock()
	yielded := x.yielded
	if !yielded {
		x.pause = min(max(firstPause, 2*x.pause), maxPause)
		x.next = time.Now().Add(x.pause)
	}
	if status == statusFail {
		x.failed++
	}
	failed := x.failed
	h.mu.Unlock()
	if yielded || c.Err() != nil {
		return
	}
	_ = r.logger.Log("event", "itemRunEnded", "lot", k.lot, "request", i.ID(), "server", s.Backend().ID(), "status", status, "failed", failed, "err", err)
	if status == statusNot || status == statusFail && failed >= max(1, w.route.Attempts()) {
		r.finish(c, k, bulrushlug.NewLotResult(w.item, false, ""), "it can't be done")
	}
}

// finish lists a result.
func (r *Runner) finish(c context.Context, k key, x bulrushlug.LotResult, reason string) {
	if !x.Completed() {
		_ = r.logger.Log("event", "itemGivenUp", "lot", k.lot, "item", k.item, "reason", reason)
	}
	r.keeper.RecordResult(context.WithoutCancel(c), k.lot, x)
}

// exchange sends q to the server of s and gathers the events; it returns the status of the answer.
func (r *Runner) exchange(c context.Context, h *shard, x *item, s *slots.Reservation, q *bulrushlug.Request) (int, error) {
	c, stop := context.WithCancel(c)
	defer stop()
	t := time.AfterFunc(silence, stop)
	defer t.Stop()
	p, err := r.caller.Call(c, s.Backend(), q)
	if err != nil {
		if k := bulrushlug.KindOf(err); k == bulrushlug.KindUnplaceable || k == bulrushlug.KindMisdirected || k == bulrushlug.KindUncertain {
			s.RecordFailure()
		}
		return 0, err
	}
	defer p.Close()
	if p.Status() != statusDone {
		_, err := io.Copy(io.Discard, p)
		return p.Status(), err
	}
	e := stream.New(p)
	for n := 0; ; n++ {
		if _, err := e.Next(); errors.Is(err, io.EOF) {
			s.RecordSuccess(0)
			return statusDone, nil
		} else if err != nil {
			return 0, bulrushlug.WrapError(bulrushlug.KindBroken, s.Backend().ID(), err)
		}
		t.Reset(silence)
		id, ok := e.ID()
		if !ok {
			return 0, bulrushlug.Errorf(bulrushlug.KindBroken, "%s: an event has no identifier", s.Backend().ID())
		}
		if err := h.gather(x, id, e.Data()); err != nil {
			return 0, err
		}
	}
}

// Progress returns the data of the events after event n of an item.
func (r *Runner) Progress(lot string, n uint32, after uint64) []string {
	k := key{lot, n}
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[k]
	if !ok || after >= uint64(len(x.text)) {
		return nil
	}
	return slices.Clone(x.text[after:])
}

// Preempt ends up to n runs at the backend server b, the newest first; their items go on later where they stopped.
func (r *Runner) Preempt(b string, n int) {
	type run struct {
		shard *shard
		item  *item
		at    time.Time
	}
	var l []run
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, x := range s.items {
			if x.server == b && !x.yielded {
				l = append(l, run{s, x, x.started})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(l, func(a, b run) int { return b.at.Compare(a.at) })
	for _, x := range l[:min(n, len(l))] {
		x.shard.mu.Lock()
		if x.item.server == b {
			x.item.yielded = true
			x.item.stop()
		}
		x.shard.mu.Unlock()
	}
}

// PreemptExcess ends runs that stand in the way of online requests.
func (r *Runner) PreemptExcess() {
	for b, n := range r.table.Preemptions() {
		r.Preempt(b, n)
	}
	r.Wake()
}
