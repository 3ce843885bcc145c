package items

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/stream"
)

const (
	eventTimeout        = 3 * time.Second     // Time without an event after which a run is cancelled and resumed, maybe at another server.
	begunEvents         = 2                   // Events of a run after which its item is not what ends the server.
	eventStream         = "text/event-stream" // Media type of server-sent events.
	statusOK            = 200
	statusUnprocessable = 422      // The item can never be completed.
	statusError         = 500      // The run failed; a later one may succeed.
	maxFailureBytes     = 64 << 10 // Bytes of the body of a response without a result.
)

// attempt is one run of an item.
type attempt struct {
	task    task
	item    *item
	slot    *slots.Reservation
	request *bulrushlug.Request
	begun   time.Time
}

func (a *attempt) key() key { return key{a.task.lot.ID(), a.task.item} }

// run makes one run of an item, then records its result or sets the back-off of the next run.
func (r *Runner) run(c context.Context, w task, x *item, s *slots.Reservation) {
	i := w.lot.Items()[w.item]
	h := r.shard(key{w.lot.ID(), w.item})
	h.mu.Lock()
	q := bulrushlug.NewRequest(i.ID(), bulrushlug.WithOrganisation(w.lot.Organisation()), bulrushlug.WithBatch(w.lot.ID()),
		bulrushlug.WithCall("POST", i.Path(), "", i.Body()), bulrushlug.WithFields(w.lot.Host(), i.Fields()),
		bulrushlug.WithIdempotent(true), bulrushlug.WithStream(true), bulrushlug.WithResumeFrom(uint64(len(x.events))),
		bulrushlug.WithPrompt(r.prompt(w.route.Name(), i.Fields())))
	h.mu.Unlock()
	a := &attempt{task: w, item: x, slot: s, request: q, begun: time.Now()}
	status := 0
	err := r.guard.Run("item", func() (err error) {
		status, err = r.exchange(c, h, x, s, q)
		return err
	})
	if err == nil && status == statusOK {
		r.complete(c, a)
		return
	}
	r.recordFailure(c, a, status, err)
}

// complete records the result of an item whose last run is a.
func (r *Runner) complete(c context.Context, a *attempt) {
	x, h := a.item, r.shard(a.key())
	h.mu.Lock()
	text := strings.Join(x.events, "\n")
	n := len(x.events)
	h.mu.Unlock()
	r.pace(a.task.route.Name()).observe(n, n-int(a.request.ResumeFrom()), time.Since(a.begun))
	r.endRun(a, "completed")
	r.recordResult(c, a.key(), bulrushlug.NewLotResult(a.task.item, true, text), "")
	if r.manager.HasResult(a.task.lot.ID(), a.task.item) {
		h.mu.Lock()
		x.drop(r.memory)
		h.mu.Unlock()
	}
}

// recordFailure sets the back-off of an item after run a, which gave no result, and gives the item up if it can't be done. A
// response that broke off or has no end, as err says, is no answer, whatever its status; a whole one counts even if the run was
// preempted meanwhile.
func (r *Runner) recordFailure(c context.Context, a *attempt, status int, err error) {
	oversized := errors.Is(err, bulrushlug.ErrOversized)
	if oversized {
		a.slot.RecordFailure()
	}
	x, h := a.item, r.shard(a.key())
	h.mu.Lock()
	preempted := x.preempted
	if !preempted && !errors.Is(err, errUnframed) {
		x.backoff = min(max(initialBackoff, 2*x.backoff), maxBackoff)
		x.notBefore = time.Now().Add(x.backoff)
	}
	if err == nil && status == statusError {
		x.failures++
	}
	failures, events := x.failures, len(x.events)
	if oversized {
		x.drop(r.memory)
	}
	h.mu.Unlock()
	e := cause(preempted, c.Err() != nil, status, err)
	r.endRun(a, e)
	online, batch, age := a.slot.Load()
	r.endings.record(e, "lot", a.task.lot.ID(), "request", a.request.ID(), "server", a.slot.Backend().ID(),
		"status", status, "failed", failures, "resumedAfter", a.request.ResumeFrom(), "events", events, "ran", time.Since(a.begun),
		"online", online, "batch", batch, "age", age, "err", err)
	if err != nil {
		return
	}
	if status == statusError {
		r.manager.RecordFailures(context.WithoutCancel(c), a.task.lot.ID(), a.task.item, failures)
	}
	if status == statusUnprocessable || status == statusError && failures >= max(1, a.task.route.Attempts()) {
		r.recordResult(c, a.key(), bulrushlug.NewLotResult(a.task.item, false, ""), "the backend server rejected it or failed too often", "status", status, "failed", failures)
	}
}

// endRun notes for which cause run a ended.
func (r *Runner) endRun(a *attempt, cause string) {
	h := r.shard(a.key())
	h.mu.Lock()
	defer h.mu.Unlock()
	a.item.ended = ending{cause: cause, server: a.slot.Backend().ID(), at: time.Now()}
}

// cause names why a run ended without a result.
func cause(preempted, stopped bool, status int, err error) string {
	switch {
	case preempted:
		return "preempted"
	case stopped:
		return "stopped"
	case errors.Is(err, errUnframed):
		return "unframed"
	case err != nil:
		return bulrushlug.KindOf(err).String()
	}
	return "status" + strconv.Itoa(status)
}

// exchange sends q to the server of s and collects the events; it returns the HTTP status of the response.
func (r *Runner) exchange(c context.Context, h *shard, x *item, s *slots.Reservation, q *bulrushlug.Request) (int, error) {
	c, stop := context.WithCancel(c)
	defer stop()
	t := time.AfterFunc(eventTimeout, stop)
	defer t.Stop()
	p, err := r.client.Call(c, s.Backend(), q)
	if err != nil {
		if r.endsWithoutResponse(c, h, x, s.Backend(), q, err) {
			return statusOK, nil
		}
		recordFailedCall(s, err)
		return 0, err
	}
	defer p.Close()
	if p.Status() != statusOK {
		return p.Status(), discard(p)
	}
	if t := bulrushlug.FieldValue(p.Fields(), "Content-Type"); t != "" && !strings.HasPrefix(t, eventStream) {
		return 0, bulrushlug.Errorf(bulrushlug.KindBroken, "%s: the response has type %s", s.Backend().ID(), t)
	}
	e := stream.New(p, r.memory)
	defer e.Close()
	n, err := r.receive(h, x, s.Backend(), q, e, t)
	if err == nil && !p.Framed() {
		err = r.checkEnd(c, h, x, s.Backend(), n)
	}
	if err != nil {
		if r.endsFromStart(c, h, x, s.Backend(), q, n, err) {
			return statusOK, nil
		}
		return 0, err
	}
	s.RecordSuccess(0)
	r.detector.RecordBegun(q.Prompt())
	return statusOK, nil
}

// recordFailedCall records at s that its server had no response, as err says.
func recordFailedCall(s *slots.Reservation, err error) {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindUnplaceable:
		s.RecordUnreachable()
	case bulrushlug.KindMisdirected, bulrushlug.KindUncertain:
		s.RecordFailure()
	}
}

// discard reads the body of a response without a result; one that breaks off or has no end is no answer.
func discard(p bulrushlug.Reply) error {
	_, err := io.CopyN(io.Discard, p, maxFailureBytes)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("a failure of more than %d bytes", maxFailureBytes), bulrushlug.ErrOversized)
	}
	return bulrushlug.WrapError(bulrushlug.KindBroken, "a failure breaks off", err)
}

// receive adds the events of e to x until the stream ends, and returns their number; each restarts the timer t.
func (r *Runner) receive(h *shard, x *item, b bulrushlug.Backend, q *bulrushlug.Request, e *stream.Reader, t *time.Timer) (n int, err error) {
	for {
		if _, err := e.Next(); errors.Is(err, io.EOF) {
			if n == 0 && q.ResumeFrom() == 0 {
				return 0, bulrushlug.Errorf(bulrushlug.KindBroken, "%s: the stream ended without an event", b.ID())
			}
			return n, nil
		} else if err != nil {
			return n, bulrushlug.WrapError(bulrushlug.KindBroken, b.ID(), err)
		}
		if !e.Progress() {
			continue
		}
		t.Reset(eventTimeout)
		id, ok := e.ID()
		if !ok {
			return n, bulrushlug.Errorf(bulrushlug.KindBroken, "%s: an event has no id field", b.ID())
		}
		if err := h.appendEvent(x, id, e.Data(), q.Prompt(), r.memory); err != nil {
			return n, err
		}
		if n++; n == begunEvents {
			r.detector.RecordBegun(q.Prompt())
		}
	}
}
