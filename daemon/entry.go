package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/limit"
	"bulrushlug.dev/bulrushlug/locate"
	"bulrushlug.dev/bulrushlug/lotsrv"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/proxy"
	"bulrushlug.dev/bulrushlug/tally"
)

const (
	leaveTime     = 2500 * time.Millisecond // Time in which the balancer sees twice that the process is not ready.
	stopMargin    = 500 * time.Millisecond  // Time before the end of the grace period at which open requests are cut.
	defaultHeader = 16 << 10                // Bytes of a header where the manifest names no limit.
	defaultIdle   = 15 * time.Second
	headerTimeout = 3 * time.Second
)

// entry serves callers.
type entry struct {
	*Daemon
	lots    *locate.Router
	front   http.Handler
	leaving atomic.Bool
}

func newEntry(s *Daemon) *entry {
	e := &entry{Daemon: s, lots: locate.New(s.client, s.platform.Store(), lotPrefix, s.peers, s.logger)}
	d := proxy.New(s.table, s.platform.BackendClient(), s.events, s.gossip.SendTo)
	a := authn.New(s)
	p := pipe.New(d, tally.New(s.counts, s.events), timer{s.events}, a, limit.New(s.meter))
	e.front = s.platform.Handler(s.manifest.Load, p, a, e.lots)
	return e
}

// timer notes how long requests take, by outcome.
type timer struct{ recorder *recorder }

// Pass measures r.
func (t timer) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	b := time.Now()
	err := n.Run(c, r, s)
	o := "ok"
	if err != nil {
		o = bulrushlug.KindOf(err).String()
	}
	t.recorder.observe(o, time.Since(b))
	return err
}

func (e *entry) server() *lotsrv.Server { return lotsrv.New(nil, e.snapshot) }

// parts returns what the process admitted.
func (e *entry) parts() []bulrushlug.ReportOption {
	return []bulrushlug.ReportOption{bulrushlug.ReportAdmissionCounts(e.meter.AdmissionCounts())}
}

// heard takes over what other entries admitted and where lots are.
func (e *entry) heard(r bulrushlug.Report) {
	if r.Member().Role() == bulrushlug.RoleEntry {
		e.meter.ApplyReport(r)
	}
	e.lots.SetPrimary(r.Disk(), r.Lots())
}

// run serves callers until c ends; then the balancer takes the process out before its listener closes.
func (e *entry) run(c context.Context) error {
	r := &http.Server{Addr: e.settings.Load().Ready(), Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: headerTimeout}
	defer func() { _ = r.Close() }()
	go func() { e.ended("readiness", r.ListenAndServe()) }()
	select {
	case <-e.known:
	case <-c.Done():
		return nil
	}
	l, err := net.Listen("tcp", e.settings.Load().HTTP())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, e.settings.Load().HTTP(), err)
	}
	f := e.httpServer()
	go func() { e.ended("front", f.Serve(l)) }()
	<-c.Done()
	return e.leave(f)
}

// httpServer returns the server for callers, by the limits of the manifest.
func (e *entry) httpServer() *http.Server {
	b := e.manifest.Load().Bounds()
	h, i, w := b.Header(), b.Idle(), b.HeaderWithin()
	if h == 0 {
		h = defaultHeader
	}
	if i == 0 {
		i = defaultIdle
	}
	if w == 0 {
		w = headerTimeout
	}
	return &http.Server{Handler: e.front, MaxHeaderBytes: h, ReadHeaderTimeout: w, IdleTimeout: i}
}

func (e *entry) ended(n string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = e.logger.Log("event", "listenerEnded", "listener", n, "err", err)
	}
}

// ready answers whether the balancer may send callers here.
func (e *entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || !e.Fresh() || e.table.Available("") == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave stops serving: new callers go elsewhere first, then open requests end.
func (e *entry) leave(f *http.Server) error {
	t := time.Now()
	e.leaving.Store(true)
	e.gossip.Leave()
	_ = e.logger.Log("event", "leave")
	f.SetKeepAlivesEnabled(false)
	c, stop := context.WithDeadline(context.Background(), t.Add(e.settings.Load().Grace()-stopMargin))
	defer stop()
	_ = bulrushlug.Sleep(c, leaveTime)
	if err := f.Shutdown(c); err != nil {
		_ = e.logger.Log("event", "requestsCut", "err", err)
		return nil
	}
	return nil
}
