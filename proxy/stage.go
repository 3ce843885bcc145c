// Package proxy is the last stage of a pipe that sends requests straight to backend servers.
package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/stream"
)

const (
	maxSends  = 4                      // Backend servers that one request is sent to, those that refuse it included.
	retryWait = 300 * time.Millisecond // Time after which a full service is worth another try: a short answer's length.
	maxWhole  = 8 << 20                // Bytes of an answer that is held until it is whole.
	readSize  = 16 << 10
	// suspectTime is the time without an answer after which a server is passed over: three times the 99th
	// percentile of first events at a crest.
	suspectTime = 600 * time.Millisecond
	// silenceTime is the time without an answer after which a request is tried at another server.
	silenceTime = 1200 * time.Millisecond

	statusOK    = 200
	statusFail  = 500                 // Lowest status of a failure of the server.
	eventStream = "text/event-stream" // Media type of a series of events.
)

// Stage sends each request to a backend server and repeats it where that is safe.
type Stage struct {
	table    *slots.Table
	caller   bulrushlug.BackendClient
	recorder bulrushlug.Recorder
	placed   func(vms []string) // Tells processes whose batch items share a server with a new request.
}

// New returns a stage over the servers in t; f tells the given processes, whose batch items share a server with a new
// request.
func New(t *slots.Table, c bulrushlug.BackendClient, e bulrushlug.Recorder, f func(vms []string)) *Stage {
	return &Stage{table: t, caller: c, recorder: e, placed: f}
}

// attempt is one request on its way through the servers.
type attempt struct {
	*Stage
	request *bulrushlug.Request
	sink    *sink
	service string
	skip    map[string]bool // Servers that failed or refused the request.
	ran     int             // Sends after which the request may have run.
}

// Run sends r until a server answers it; the answer of the last server goes to s.
func (g *Stage) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if d := r.Deadline(); !d.IsZero() {
		var stop context.CancelFunc
		c, stop = context.WithDeadline(c, d)
		defer stop()
	}
	a := &attempt{Stage: g, request: r, sink: &sink{sink: s}, service: service(r.Target()), skip: map[string]bool{}}
	var err error
	for range maxSends {
		var again bool
		if again, err = a.send(c); !again || c.Err() != nil {
			break
		}
		r.NextAttempt()
	}
	return a.final(c, err)
}

// final turns what could not run into a refusal that says so, and what may have run into one that doesn't.
func (a *attempt) final(c context.Context, err error) error {
	if err == nil {
		return nil
	}
	k := bulrushlug.KindOf(err)
	switch {
	case a.ran > 0 && !k.Answer().Ran():
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "an earlier attempt may have run", err)
	case a.ran == 0 && c.Err() != nil && k != bulrushlug.KindCancelled:
		return bulrushlug.WrapError(bulrushlug.KindOverloaded, "no server took the request in time", err)
	}
	return err
}

// service returns one service of t, by weight.
func service(t bulrushlug.Route) string {
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

// send offers the request to one server; it reports whether another one may be tried after the error.
func (a *attempt) send(c context.Context) (bool, error) {
	l, holders := a.table.AcquireOnline(a.service, a.skip)
	if l == nil {
		return false, bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of %s has room: %d known, %d tried", a.service, a.table.Available(a.service), len(a.skip)).WithWait(retryWait)
	}
	defer l.Release()
	a.placed(holders)
	t := time.Now()
	p, err := a.call(c, l)
	if err != nil {
		return a.failed(c, l, err)
	}
	defer p.Close()
	a.ran++
	if p.Status() >= statusFail && a.mayRepeat() {
		a.skip[l.Backend().ID()] = true
		return true, bulrushlug.Errorf(bulrushlug.KindUncertain, "%s answered %d", l.Backend().ID(), p.Status())
	}
	if a.sink.headed && !streams(p) {
		a.skip[l.Backend().ID()] = true
		return a.mayRepeat() && a.resumes(), bulrushlug.Errorf(bulrushlug.KindBroken, "%s answered %d to a stream that was to go on", l.Backend().ID(), p.Status())
	}
	n, err := a.pass(p)
	if err == nil {
		l.RecordSuccess(pace(t, n))
		return false, nil
	}
	a.record("answerBroken", l.Backend(), err)
	if c.Err() != nil || a.sink.broken {
		return false, err
	}
	a.skip[l.Backend().ID()] = true
	return a.mayRepeat() && a.resumes(), err
}

// call sends the request to the server of l. While that is silent it is passed over by others, and after a longer
// silence a request that may run once more is given up there.
func (a *attempt) call(c context.Context, l *slots.Reservation) (bulrushlug.Reply, error) {
	t := time.AfterFunc(suspectTime, l.RecordFailure)
	defer t.Stop()
	if !a.mayRepeat() || a.request.Target().Attempts() == a.ran+1 {
		return a.caller.Call(c, l.Backend(), a.request)
	}
	x, stop := context.WithCancelCause(c)
	g := time.AfterFunc(silenceTime, func() { stop(errSilent) })
	defer g.Stop()
	p, err := a.caller.Call(x, l.Backend(), a.request)
	if err != nil && c.Err() == nil && x.Err() != nil {
		err = errSilent
	}
	return p, err
}

// errSilent ends a request at a server that does not answer; it may have run.
var errSilent = bulrushlug.Errorf(bulrushlug.KindUncertain, "the server is silent")

// pace returns the seconds per event of an answer of n events that began at t.
func pace(t time.Time, n int) float64 {
	if n < 2 {
		return 0
	}
	return time.Since(t).Seconds() / float64(n)
}

// failed classifies an exchange without an answer.
func (a *attempt) failed(c context.Context, l *slots.Reservation, err error) (bool, error) {
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
	a.ran++
	if c.Err() != nil {
		return false, err
	}
	if k == bulrushlug.KindUncertain {
		l.RecordFailure()
	}
	return a.mayRepeat(), err
}

// mayRepeat reports whether the request may run once more.
func (a *attempt) mayRepeat() bool {
	n := a.request.Target().Attempts()
	return a.request.Idempotent() && (n == 0 || a.ran < n)
}

// resumes reports whether an answer that was begun can go on.
func (a *attempt) resumes() bool {
	return !a.sink.headed || a.request.Target().Resumable() && a.sink.resumable
}

func (a *attempt) record(w string, b bulrushlug.Backend, err error) {
	a.recorder.Record(bulrushlug.NewEvent(w, bulrushlug.ForRequest(a.request),
		bulrushlug.WithDetail(b.ID()+" "+bulrushlug.KindOf(err).String()+": "+err.Error())))
}

// pass hands the answer p to the caller; it returns the number of events.
func (a *attempt) pass(p bulrushlug.Reply) (int, error) {
	if streams(p) {
		return a.events(p)
	}
	return 0, a.whole(p)
}

// streams reports whether p is a series of events.
func streams(p bulrushlug.Reply) bool {
	return p.Status() == statusOK && strings.HasPrefix(bulrushlug.FieldValue(p.Fields(), "Content-Type"), eventStream)
}

// events passes on whole events as they come.
func (a *attempt) events(p bulrushlug.Reply) (n int, err error) {
	r := stream.New(p)
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return n, a.sink.head(p)
		}
		if err != nil {
			return n, broken(err)
		}
		if err := a.sink.head(p); err != nil {
			return n, err
		}
		if err := a.sink.write(e); err != nil {
			return n, err
		}
		n++
		if id, ok := r.ID(); ok {
			a.request.SkipEvents(id)
			a.sink.resumable = true
		}
	}
}

// whole passes on an answer once it is complete, or in parts if it is large or may not be repeated.
func (a *attempt) whole(p bulrushlug.Reply) error {
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
			return broken(err)
		case len(b) < maxWhole:
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

func broken(err error) error {
	if bulrushlug.KindOf(err) == bulrushlug.KindInternal {
		return bulrushlug.WrapError(bulrushlug.KindBroken, "the answer broke off", err)
	}
	return err
}

// sink passes one answer on and notes how far it got.
type sink struct {
	sink      bulrushlug.Sink
	headed    bool // The head was passed on.
	broken    bool // The caller took no more.
	resumable bool // The last event passed on had an identifier.
}

// head passes on the head of p, unless an earlier server's was.
func (s *sink) head(p bulrushlug.Reply) error {
	if s.headed {
		return nil
	}
	s.headed = true
	var err error
	if f, ok := s.sink.(bulrushlug.FieldSink); ok {
		err = f.HeadFields(p.Status(), p.Fields())
	} else {
		err = s.sink.Head(p.Status(), bulrushlug.FieldValue(p.Fields(), "Content-Type"))
	}
	s.broken = err != nil
	return err
}

func (s *sink) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	err := s.sink.Write(p)
	s.broken = err != nil
	return err
}
