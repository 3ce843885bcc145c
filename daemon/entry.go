package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/drain"
	"bulrushlug.dev/bulrushlug/grace"
	"bulrushlug.dev/bulrushlug/hush"
	"bulrushlug.dev/bulrushlug/inlet"
	"bulrushlug.dev/bulrushlug/limit"
	"bulrushlug.dev/bulrushlug/locate"
	"bulrushlug.dev/bulrushlug/lotsrv"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/proxy"
	"bulrushlug.dev/bulrushlug/refuse"
	"bulrushlug.dev/bulrushlug/tally"
)

const (
	readinessGrace = 2500 * time.Millisecond // Long enough for the load balancer to see two failed readiness probes.
	shutdownMargin = 500 * time.Millisecond  // Time before the end of the grace period at which connections are cut.
	answerMargin   = 300 * time.Millisecond  // Time before that at which open requests are answered.
)

// entry is the role of a process that serves callers.
type entry struct {
	*Daemon
	router    *locate.Router
	grace     *grace.Filter
	handler   http.Handler
	listening atomic.Bool // Connections of callers are queued.
	leaving   atomic.Bool
}

func newEntry(s *Daemon) *entry {
	e := &entry{Daemon: s, router: locate.New(s.lotClient, s.store, lotPrefix, s.membership, s.logger), grace: grace.New()}
	d := proxy.New(s.slotTable, s.platform.BackendClient(s), s.recorder, s.broadcaster.SendTo, s.detector, s.memory).WithGuard(s.guard)
	if s.settings.Load().SuspectSilence() {
		d.WithMonitor(hush.New())
	}
	s.counters.Set("callersLeft", expvar.Func(func() any { return d.CallersLeft() }))
	a, m := authn.New(s), new(expvar.Map).Init()
	s.counters.Set("refused", m)
	p := pipe.New(d, tally.New(s.counters, s.recorder), refuse.New(m), latencyFilter{s.recorder}, e.grace, a, limit.New(s.limiter))
	b := memory.New(s.plan.BodyBytes())
	s.counters.Set("bodyBytesHeld", expvar.Func(func() any { return b.Used() }))
	s.counters.Set("bodyBytesRefused", expvar.Func(func() any { return b.Refused() }))
	e.handler = s.platform.Handler(s.manifest.Load, s.operatorMirror.Behind, p, a, e.router, b)
	return e
}

// latencyFilter records the latency of requests by outcome.
type latencyFilter struct{ recorder *recorder }

// Pass calls n and records how long it took.
func (t latencyFilter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	b := time.Now()
	err := n.Run(c, r, s)
	o := "ok"
	if err != nil {
		o = bulrushlug.KindOf(err).String()
	}
	t.recorder.observe(o, time.Since(b))
	return err
}

func (e *entry) rpcServer() *lotsrv.Server { return lotsrv.New(nil, e.guard, e.snapshot) }

// reportOptions returns the requests that the process admitted, by organisation.
func (e *entry) reportOptions() []bulrushlug.ReportOption {
	return []bulrushlug.ReportOption{bulrushlug.ReportAdmissionCounts(e.limiter.AdmissionCounts())}
}

// handleReport applies the admission counts of other entries and the locations of lots.
func (e *entry) handleReport(r bulrushlug.Report) {
	if r.Member().Role() == bulrushlug.RoleEntry {
		e.limiter.ApplyReport(r)
	}
	e.router.SetPrimary(r.Disk(), r.Lots())
}

// serve serves callers until c ends, and then drains the process before it closes the listener.
func (e *entry) serve(c context.Context) error {
	r := e.probeServer(http.HandlerFunc(e.serveReadiness))
	defer func() { _ = r.Close() }()
	go func() { e.logListenerEnd("readiness", e.listenProbes(c, r, e.settings.Load().Ready())) }()
	select {
	case <-e.manifestReady:
	case <-c.Done():
		return nil
	}
	l, err := net.Listen("tcp", e.settings.Load().HTTP())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, e.settings.Load().HTTP(), err)
	}
	e.listening.Store(true)
	h, i := e.httpServer()
	f := drain.New(h, l, drain.WithConns(i.Listener))
	go func() { e.logListenerEnd("front", f.Serve()) }()
	<-c.Done()
	return e.drain(f)
}

// httpServer returns the HTTP server for callers and its inlet.
func (e *entry) httpServer() (*http.Server, *inlet.Inlet) {
	k := e.newInlet(e.plan.Connections(), e.plan.HeadBytes(), e.bounds)
	x := &http.Server{Handler: e.guard.HTTP(e.handler)}
	k.Attach(x)
	return x, k
}

// bounds returns the bounds of the present manifest.
func (e *entry) bounds() bulrushlug.Bounds { return e.manifest.Load().Bounds() }

func (e *entry) logListenerEnd(n string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) {
		_ = e.logger.Log("event", "listenerEnded", "listener", n, "err", err)
	}
}

// serveReadiness answers the load balancer's readiness probe. An entry stays ready while operators evacuate all zones: it
// refuses requests at once with a retry delay, and lots are read and accepted, which nobody could do otherwise.
func (e *entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.listening.Load() || e.leaving.Load() || !e.Fresh() || e.slotTable.Present() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain shuts f down gracefully: it fails the readiness probe, waits until the load balancer has noticed, and then waits
// for open requests. From then on requests that may last longer than the process are rejected.
func (e *entry) drain(f *drain.Server) error {
	t := time.Now()
	e.leaving.Store(true)
	e.broadcaster.Leave()
	_ = e.logger.Log("event", "leave")
	f.Leave()
	cut := t.Add(e.settings.Load().Grace() - shutdownMargin)
	e.grace.Leave(cut.Add(-answerMargin))
	c, stop := context.WithDeadline(context.Background(), cut)
	defer stop()
	_ = bulrushlug.Sleep(c, readinessGrace)
	e.grace.Restrict()
	if err := f.Shutdown(c); err != nil {
		_ = e.logger.Log("event", "requestsCut", "err", err)
		return nil
	}
	return nil
}
