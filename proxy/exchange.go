package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
)

// exchange is one request with its response, over all attempts.
type exchange struct {
	*Stage
	request      *bulrushlug.Request
	sink         *sink
	service      string
	skip         map[string]bool    // Servers that failed or refused the request, by identifier.
	possibleRuns int                // Attempts after which the request may have run.
	slot         *slots.Reservation // Of the attempt in progress; nil if there is none.
	next         *place             // Taken for the next attempt; nil if there is none.
}

// finalError changes the kind of err so that it says correctly whether any attempt may have run.
func (a *exchange) finalError(c context.Context, err error) error {
	if err == nil {
		return nil
	}
	k := bulrushlug.KindOf(err)
	switch {
	case a.possibleRuns > 0 && !k.Response().MayHaveRun():
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "an earlier attempt may have run the request", err)
	case a.possibleRuns == 0 && c.Err() != nil && k != bulrushlug.KindCancelled:
		return bulrushlug.WrapError(bulrushlug.KindOverloaded, "no server accepted the request before its deadline", err)
	}
	return err
}

// pickService returns a service of t at random by weight, or the name of t if the weights are zero.
func pickService(t bulrushlug.Route) string {
	sum := 0
	for _, s := range t.Shares() {
		sum += s.Weight()
	}
	if sum == 0 {
		return t.Name()
	}
	n := rand.IntN(sum)
	for _, s := range t.Shares() {
		if n -= s.Weight(); n < 0 {
			return s.Service()
		}
	}
	return t.Name()
}

// try sends the request to one server; it reports whether the request may be retried at another one after the error.
func (a *exchange) try(c context.Context) (bool, error) {
	q, err := a.acquire(c)
	if err != nil {
		return false, err
	}
	l := q.slot
	a.slot = l
	defer l.Release()
	t := time.Now()
	x, stop := context.WithCancel(c)
	defer stop()
	p := q.started
	if p != nil {
		x, stop = p.context, p.stop
	}
	r := a.newRelief(c, l, stop)
	if p == nil {
		a.notify(q.vms)
		if p, err = a.call(x, stop, r, l); err != nil {
			return a.handleFailedCall(c, x, l, err)
		}
		a.possibleRuns++
	}
	defer p.close()
	if p.Status() >= statusServerError && a.mayRetry() {
		a.skip[l.Backend().ID()] = true
		return true, bulrushlug.Errorf(bulrushlug.KindUncertain, "%s answered %d", l.Backend().ID(), p.Status())
	}
	if a.sink.headSent && !isEventStream(p) {
		a.skip[l.Backend().ID()] = true
		return a.mayRetry() && a.canResume(), bulrushlug.Errorf(bulrushlug.KindBroken, "%s answered %d to a request to resume a stream", l.Backend().ID(), p.Status())
	}
	w := a.watch(l, r)
	n, err := a.forward(p, r, w)
	if err == nil {
		l.RecordSuccess(eventInterval(t, n))
		if p.Status() < statusRedirection {
			a.detector.RecordBegun(a.request.Prompt())
		}
		return false, nil
	}
	return a.handleBroken(c, x, l, n, err)
}

// acquire returns the place that was taken for the next attempt, or takes one; it fails if the prompt is held back, no server has
// capacity, or c has ended.
func (a *exchange) acquire(c context.Context) (*place, error) {
	if p := a.next; p != nil {
		a.next = nil
		return p, nil
	}
	if err := a.detector.Check(a.request.Prompt()); err != nil {
		return nil, err
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	l, vms := a.table.AcquireOnline(a.service, a.skip)
	if l == nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of service %s has capacity: %d available, %d tried", a.service, a.table.Available(a.service), len(a.skip)).WithRetryAfter(retryAfter)
	}
	return &place{slot: l, vms: vms}, nil
}

// releaseNext frees a place that no attempt used.
func (a *exchange) releaseNext() {
	if a.next != nil {
		a.next.release()
	}
}

// watch returns a watchdog for a stream from the server of l, which r relieves if it is silent.
func (a *exchange) watch(l *slots.Reservation, r *relief) *watchdog {
	gap := a.request.TargetRoute().EventGapTarget()
	stalled := func() {
		l.RecordFailure()
		r.start()
	}
	w := newWatchdog(gap, stalled)
	if a.monitor != nil {
		a.monitor.Hear(l.Backend().ID())
		w.listen(gap, func(d time.Duration) bool { return a.monitor.Silent(l.Backend().ID(), d) }, stalled)
	}
	return w
}

// handleFailedCall handles an attempt in x at the server of l that has no response; it reports whether the request may be retried.
func (a *exchange) handleFailedCall(c, x context.Context, l *slots.Reservation, err error) (bool, error) {
	switch {
	case c.Err() == nil && x.Err() != nil:
		err = errNoResponse
	case bulrushlug.KindOf(err) == bulrushlug.KindUncertain:
		a.detector.RecordBroken(x, l.Backend(), a.request.Prompt())
	}
	return a.classify(c, l, err)
}

// handleBroken handles a response in x of the server of l that ended with err after n events; it reports whether the request may be
// retried.
func (a *exchange) handleBroken(c, x context.Context, l *slots.Reservation, n int, err error) (bool, error) {
	switch {
	case x.Err() != nil || a.next != nil || a.sink.callerGone:
	case n < begunEvents:
		a.detector.RecordBroken(x, l.Backend(), a.request.Prompt())
	case !errors.Is(err, bulrushlug.ErrOversized):
		a.detector.RecordEnded(x, l.Backend())
	}
	if errors.Is(err, bulrushlug.ErrOversized) {
		l.RecordFailure()
	}
	if a.callerLeft(c) {
		return false, a.endWork(l.Backend(), n, err)
	}
	a.recordBroken(a.request, l.Backend(), n, err)
	if c.Err() != nil {
		return false, err
	}
	a.skip[l.Backend().ID()] = true
	return a.next != nil || a.mayRetry() && a.canResume(), err
}

// call sends the request to the server of l. After suspectTimeout other requests avoid the server, and after responseTimeout
// another one may answer in its place.
func (a *exchange) call(c context.Context, stop func(), r *relief, l *slots.Reservation) (*started, error) {
	t := time.AfterFunc(suspectTimeout, l.RecordFailure)
	defer t.Stop()
	if a.request.Idempotent() {
		n := a.runsLeft()
		if n > 0 {
			n-- // This attempt may run too.
		}
		r.arm(n)
	}
	u := time.AfterFunc(responseTimeout, r.start)
	defer u.Stop()
	p, err := a.client.Call(c, l.Backend(), a.request)
	a.next = r.disarm()
	switch {
	case err != nil:
		return nil, err
	case a.next != nil:
		p.Close()
		return nil, errNoResponse
	}
	return &started{Reply: p, context: c, stop: stop}, nil
}

// errNoResponse is the error of an attempt whose server is silent while another one goes on; the request may have run.
var errNoResponse = bulrushlug.Errorf(bulrushlug.KindUncertain, "the server is silent, and another one goes on")

// eventInterval returns the average seconds between the n events of a response whose request was sent at t; zero if
// n is less than two.
func eventInterval(t time.Time, n int) float64 {
	if n < 2 {
		return 0
	}
	return time.Since(t).Seconds() / float64(n)
}

// classify handles an attempt without a response, and reports whether the request may be retried.
func (a *exchange) classify(c context.Context, l *slots.Reservation, err error) (bool, error) {
	k := bulrushlug.KindOf(err)
	a.skip[l.Backend().ID()] = true
	if k == bulrushlug.KindCancelled && a.callerLeft(c) {
		a.possibleRuns++
		return false, a.endWork(l.Backend(), 0, err)
	}
	a.record("callFailed", a.request, l.Backend(), err)
	if !recordCall(c, l, err) {
		return true, err
	}
	a.possibleRuns++
	if c.Err() != nil {
		return false, err
	}
	return a.next != nil || a.mayRetry(), err
}

// recordCall records at l why a call failed, and reports whether the server may have run the request.
func recordCall(c context.Context, l *slots.Reservation, err error) bool {
	switch bulrushlug.KindOf(err) {
	case bulrushlug.KindUnplaceable:
		l.RecordUnreachable()
		return false
	case bulrushlug.KindMisdirected:
		l.RecordFailure()
		return false
	case bulrushlug.KindOverloaded:
		l.RecordRefusal()
		return false
	case bulrushlug.KindUncertain:
		if c.Err() == nil {
			l.RecordFailure()
		}
	}
	return true
}

// callerLeft reports whether the caller takes no more of the response. The process itself ends requests with a cause.
func (a *exchange) callerLeft(c context.Context) bool {
	return a.sink.callerGone || context.Cause(c) == context.Canceled
}

// endWork records that the work of b for a caller that has left ended with err after n events, which says nothing of b.
func (a *exchange) endWork(b bulrushlug.Backend, n int, err error) error {
	a.callersLeft.Add(1)
	a.recorder.Record(bulrushlug.NewEvent("callerLeft", bulrushlug.ForRequest(a.request), bulrushlug.WithDetail(fmt.Sprintf("%s after %d events", b.ID(), n))))
	return bulrushlug.WrapError(bulrushlug.KindCancelled, "caller left", err)
}

// mayRetry reports whether the request is idempotent and has attempts left.
func (a *exchange) mayRetry() bool { return a.request.Idempotent() && a.runsLeft() != 0 }

// runsLeft returns how many more times the request may run if it is idempotent; negative for any number.
func (a *exchange) runsLeft() int {
	n := a.request.TargetRoute().Attempts()
	if n == 0 {
		return -1
	}
	return max(0, n-a.possibleRuns)
}

// canResume reports whether the response has not begun or can resume at another server after the last event.
func (a *exchange) canResume() bool {
	return !a.sink.headSent || a.request.TargetRoute().Resumable() && a.sink.resumable
}

func (a *exchange) record(w string, r *bulrushlug.Request, b bulrushlug.Backend, err error) {
	a.recorder.Record(bulrushlug.NewEvent(w, bulrushlug.ForRequest(r),
		bulrushlug.WithDetail(b.ID()+" "+bulrushlug.KindOf(err).String()+": "+err.Error())))
}

// recordBroken records a response that broke off after n events. One without any may be that of the request that ended the
// server, so the parts of its prompt are in the record.
func (a *exchange) recordBroken(r *bulrushlug.Request, b bulrushlug.Backend, n int, err error) {
	d := fmt.Sprintf("%s %s after %d events: %v", b.ID(), bulrushlug.KindOf(err), n, err)
	if n == 0 {
		d += fmt.Sprintf(", prompt %x", r.Prompt().Parts())
	}
	a.recorder.Record(bulrushlug.NewEvent("answerBroken", bulrushlug.ForRequest(r), bulrushlug.WithDetail(d)))
}
