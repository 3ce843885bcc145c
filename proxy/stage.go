// Package proxy is the last stage of a pipe: a reverse proxy that sends requests straight to backend servers.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/stream"
)

const (
	maxServers  = 4                      // Backend servers tried for one request, those that refuse it included.
	retryAfter  = 300 * time.Millisecond // Retry-After of a service without capacity; about the duration of a short response.
	begunEvents = 2                      // Events of a response after which its request is not what ends the server.
	maxBuffered = 8 << 20                // Bytes of a response that are buffered until it is complete.
	readSize    = 16 << 10
	// suspectTimeout is the time without a response after which other requests avoid a server: three times the 99th
	// percentile of the time to the first event at peak load.
	suspectTimeout = 600 * time.Millisecond
	// responseTimeout is the time without a response after which a request is retried at another server.
	responseTimeout = 1200 * time.Millisecond

	statusOK          = 200
	statusRedirection = 300                 // Lowest status that does not report success.
	statusServerError = 500                 // Lowest status that reports a failure of the server.
	eventStream       = "text/event-stream" // Media type of server-sent events.
)

// Stage forwards each request to a backend server and retries it where that is safe.
type Stage struct {
	table    *slots.Table
	client   bulrushlug.BackendClient
	recorder bulrushlug.Recorder
	notify   func(vms []string) // Tells the processes on these VMs that a request runs on the same server as their batch items.
	detector bulrushlug.PoisonDetector
}

// New returns a stage that takes slots from t and sends requests by c, unless d holds them back; f tells the processes on
// the given VMs that a request runs on the same server as their batch items.
func New(t *slots.Table, c bulrushlug.BackendClient, e bulrushlug.Recorder, f func(vms []string), d bulrushlug.PoisonDetector) *Stage {
	return &Stage{table: t, client: c, recorder: e, notify: f, detector: d}
}

// exchange is one request with its response, over all attempts.
type exchange struct {
	*Stage
	request      *bulrushlug.Request
	sink         *sink
	service      string
	skip         map[string]bool // Servers that failed or refused the request, by identifier.
	possibleRuns int             // Attempts after which the request may have run.
}

// Run forwards r to servers until one responds or no retry is safe; the response goes to s.
func (g *Stage) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if d := r.Deadline(); !d.IsZero() {
		var stop context.CancelFunc
		c, stop = context.WithDeadline(c, d)
		defer stop()
	}
	a := &exchange{Stage: g, request: r, sink: &sink{sink: s}, service: pickService(r.TargetRoute()), skip: map[string]bool{}}
	var err error
	for range maxServers {
		var retry bool
		if retry, err = a.try(c); !retry || c.Err() != nil {
			break
		}
		r.NextAttempt()
	}
	return a.finalError(c, err)
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
	if err := a.detector.Check(a.request.Prompt()); err != nil {
		return false, err
	}
	l, vms := a.table.AcquireOnline(a.service, a.skip)
	if l == nil {
		return false, bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of service %s has capacity: %d available, %d tried", a.service, a.table.Available(a.service), len(a.skip)).WithRetryAfter(retryAfter)
	}
	defer l.Release()
	a.notify(vms)
	t := time.Now()
	x, stop := context.WithCancel(c)
	defer stop()
	p, err := a.call(x, stop, l)
	if err != nil {
		switch {
		case c.Err() == nil && x.Err() != nil:
			err = errNoResponse
		case bulrushlug.KindOf(err) == bulrushlug.KindUncertain:
			a.detector.RecordBroken(x, l.Backend(), a.request.Prompt())
		}
		return a.classify(c, l, err)
	}
	defer p.Close()
	a.possibleRuns++
	if p.Status() >= statusServerError && a.mayRetry() {
		a.skip[l.Backend().ID()] = true
		return true, bulrushlug.Errorf(bulrushlug.KindUncertain, "%s answered %d", l.Backend().ID(), p.Status())
	}
	if a.sink.headSent && !isEventStream(p) {
		a.skip[l.Backend().ID()] = true
		return a.mayRetry() && a.canResume(), bulrushlug.Errorf(bulrushlug.KindBroken, "%s answered %d to a request to resume a stream", l.Backend().ID(), p.Status())
	}
	w := newWatchdog(a.request.TargetRoute().EventGapTarget(), func(cut bool) {
		l.RecordFailure()
		if cut {
			stop()
		}
	})
	n, err := a.forward(p, w)
	if err == nil {
		l.RecordSuccess(eventInterval(t, n))
		if p.Status() < statusRedirection {
			a.detector.RecordBegun(a.request.Prompt())
		}
		return false, nil
	}
	if n < begunEvents && x.Err() == nil && !a.sink.callerGone {
		a.detector.RecordBroken(x, l.Backend(), a.request.Prompt())
	}
	a.recordBroken(l.Backend(), n, err)
	if c.Err() != nil || a.sink.callerGone {
		return false, err
	}
	a.skip[l.Backend().ID()] = true
	return a.mayRetry() && a.canResume(), err
}

// call sends the request to the server of l. After suspectTimeout other requests avoid the server, and after
// responseTimeout a request that may be retried is cancelled by stop.
func (a *exchange) call(c context.Context, stop context.CancelFunc, l *slots.Reservation) (bulrushlug.Reply, error) {
	t := time.AfterFunc(suspectTimeout, l.RecordFailure)
	defer t.Stop()
	if a.mayRetry() && a.request.TargetRoute().Attempts() != a.possibleRuns+1 {
		g := time.AfterFunc(responseTimeout, stop)
		defer g.Stop()
	}
	return a.client.Call(c, l.Backend(), a.request)
}

// errNoResponse is the error of an attempt that was cancelled after responseTimeout; the request may have run.
var errNoResponse = bulrushlug.Errorf(bulrushlug.KindUncertain, "the server did not answer in time")

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
	a.record("callFailed", l.Backend(), err)
	switch k {
	case bulrushlug.KindUnplaceable, bulrushlug.KindMisdirected:
		l.RecordFailure()
		return true, err
	case bulrushlug.KindOverloaded:
		return true, err
	}
	a.possibleRuns++
	if c.Err() != nil {
		return false, err
	}
	if k == bulrushlug.KindUncertain {
		l.RecordFailure()
	}
	return a.mayRetry(), err
}

// mayRetry reports whether the request is idempotent and has attempts left.
func (a *exchange) mayRetry() bool {
	n := a.request.TargetRoute().Attempts()
	return a.request.Idempotent() && (n == 0 || a.possibleRuns < n)
}

// canResume reports whether the response has not begun or can resume at another server after the last event.
func (a *exchange) canResume() bool {
	return !a.sink.headSent || a.request.TargetRoute().Resumable() && a.sink.resumable
}

func (a *exchange) record(w string, b bulrushlug.Backend, err error) {
	a.recorder.Record(bulrushlug.NewEvent(w, bulrushlug.ForRequest(a.request),
		bulrushlug.WithDetail(b.ID()+" "+bulrushlug.KindOf(err).String()+": "+err.Error())))
}

// recordBroken records a response that broke off after n events. One without any may be that of the request that ended the
// server, so the parts of its prompt are in the record.
func (a *exchange) recordBroken(b bulrushlug.Backend, n int, err error) {
	d := fmt.Sprintf("%s %s after %d events: %v", b.ID(), bulrushlug.KindOf(err), n, err)
	if n == 0 {
		d += fmt.Sprintf(", prompt %x", a.request.Prompt().Parts())
	}
	a.recorder.Record(bulrushlug.NewEvent("answerBroken", bulrushlug.ForRequest(a.request), bulrushlug.WithDetail(d)))
}

// forward copies the response p to the caller and returns the number of events.
func (a *exchange) forward(p bulrushlug.Reply, w *watchdog) (int, error) {
	if isEventStream(p) {
		return a.forwardEvents(p, w)
	}
	return 0, a.forwardBody(p)
}

// isEventStream reports whether p is a stream of server-sent events.
func isEventStream(p bulrushlug.Reply) bool {
	return p.Status() == statusOK && strings.HasPrefix(bulrushlug.FieldValue(p.Fields(), "Content-Type"), eventStream)
}

// forwardEvents copies whole events as they arrive, so that a broken stream can resume between events.
func (a *exchange) forwardEvents(p bulrushlug.Reply, w *watchdog) (n int, err error) {
	r := stream.New(p)
	for {
		w.start(a.mayRetry() && a.canResume())
		e, err := a.nextEvent(r, w)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return n, brokenError(err)
		}
		if err := a.checkSequence(r, n, ended); err != nil {
			return n, err
		}
		if err := a.sink.head(p); err != nil {
			return n, err
		}
		if err := a.sink.write(e); err != nil || ended {
			return n, err
		}
		if n++; n == begunEvents {
			a.detector.RecordBegun(a.request.Prompt())
		}
		if id, ok := r.ID(); ok {
			a.request.SkipEvents(id)
			a.sink.resumable = true
		}
	}
}

// checkSequence fails if the last event of r does not follow the last one that the caller has, or if the stream ended
// without any event; a resumed one may have ended before.
func (a *exchange) checkSequence(r *stream.Reader, n int, ended bool) error {
	last := a.request.ResumeFrom()
	if ended {
		if n == 0 && last == 0 {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "the stream ended without an event")
		}
		return nil
	}
	if id, _ := r.ID(); r.Identified() && id != last+1 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d follows event %d", id, last)
	}
	return nil
}

// nextEvent reads the next event with data, and returns it behind the events without any that came before it. These are
// no progress: a server that sends only comments has stalled.
func (a *exchange) nextEvent(r *stream.Reader, w *watchdog) (b []byte, err error) {
	defer w.stop()
	for {
		e, err := r.Next()
		if err == nil && r.Progress() && len(b) == 0 {
			return e, nil
		}
		b = append(b, e...)
		switch {
		case err != nil || r.Progress():
			return b, err
		case len(b) > maxBuffered:
			return nil, bulrushlug.Errorf(bulrushlug.KindBroken, "%d bytes without an event", len(b))
		case a.sink.headSent:
			if err := a.sink.write(b); err != nil {
				return nil, err
			}
			b = b[:0]
		}
	}
}

// forwardBody copies a response once it is complete; one of maxBuffered bytes or more is copied in parts.
func (a *exchange) forwardBody(p bulrushlug.Reply) error {
	var b []byte
	q := make([]byte, readSize)
	for {
		n, err := p.Read(q)
		b = append(b, q[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			if err := a.sink.head(p); err != nil {
				return err
			}
			return a.sink.write(b)
		case err != nil:
			return brokenError(err)
		case len(b) < maxBuffered:
			continue
		}
		if err := a.sink.head(p); err != nil {
			return err
		}
		if err := a.sink.write(b); err != nil {
			return err
		}
		b = b[:0]
	}
}

func brokenError(err error) error {
	if bulrushlug.KindOf(err) == bulrushlug.KindInternal {
		return bulrushlug.WrapError(bulrushlug.KindBroken, "the response is incomplete", err)
	}
	return err
}

// sink forwards the parts of several responses to the caller as one response.
type sink struct {
	sink       bulrushlug.Sink
	headSent   bool // The head was forwarded.
	callerGone bool // The caller accepts no more data.
	resumable  bool // A forwarded event had an identifier, after which the stream can resume.
}

// head forwards the head of p, unless that of an earlier response was forwarded.
func (s *sink) head(p bulrushlug.Reply) error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	var err error
	if f, ok := s.sink.(bulrushlug.FieldSink); ok {
		err = f.HeadFields(p.Status(), p.Fields())
	} else {
		err = s.sink.Head(p.Status(), bulrushlug.FieldValue(p.Fields(), "Content-Type"))
	}
	s.callerGone = err != nil
	return err
}

func (s *sink) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	err := s.sink.Write(p)
	s.callerGone = err != nil
	return err
}
