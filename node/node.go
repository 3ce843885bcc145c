// Package node assembles the components of one process and runs them.
package node

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/batch"
	"bulrushlug.dev/bulrushlug/cert"
	"bulrushlug.dev/bulrushlug/choose"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/conf"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/ctrl"
	"bulrushlug.dev/bulrushlug/dgram"
	"bulrushlug.dev/bulrushlug/disk"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/place"
	"bulrushlug.dev/bulrushlug/relay"
	"bulrushlug.dev/bulrushlug/repair"
	"bulrushlug.dev/bulrushlug/rpccli"
	"bulrushlug.dev/bulrushlug/rpcsrv"
	"bulrushlug.dev/bulrushlug/sched"
	"bulrushlug.dev/bulrushlug/store"
	"bulrushlug.dev/bulrushlug/tally"
	"bulrushlug.dev/bulrushlug/vmlist"
	"bulrushlug.dev/bulrushlug/wire"
)

// lameDuckTime is the time between the first failing health check of a leaving process and the end of its listeners.
const lameDuckTime = 2 * time.Second

// Node is one process in the role of an entry or an agent.
type Node struct {
	settings   *conf.Settings
	self       bulrushlug.Member
	logger     log.Logger
	guard      *guard.Guard
	counts     *expvar.Map
	clock      *clock.Clock
	events     *event.Log
	control    *ctrl.Control
	transport  *dgram.Transport
	client     *rpccli.Client
	fleet      *fleet.Fleet
	jobs       *jobs.Store
	replicator *copies.Replicator
	store      bulrushlug.Store
	tls        func() *tls.Config
	leaving    atomic.Bool
	reclaimed  chan struct{} // Closed once the platform reclaims the VM.
	role       role
	disk       bulrushlug.LocalChunkStore // Nil without a data folder.
}

// role is the behaviour that differs between the roles of a process.
type role interface {
	// start starts the components of the role in g.
	start(c context.Context, g *group) error
	// stage returns the pipe for calls from other processes, or nil if the role serves none.
	stage() bulrushlug.Stage
	// drain finishes or hands over the work of the role, until c ends.
	drain(c context.Context)
}

// group runs the components of a process until its context ends.
type group struct {
	wait sync.WaitGroup
	fail context.CancelCauseFunc
}

// run starts f; if f fails while c is live, the process ends.
func (g *group) run(c context.Context, f func(c context.Context) error) {
	g.wait.Go(func() {
		if err := f(c); err != nil && c.Err() == nil {
			g.fail(err)
		}
	})
}

// New returns the process with settings s; it logs to l.
func New(s *conf.Settings, l log.Logger) (*Node, error) {
	m := s.Member()
	n := &Node{
		settings:  s,
		self:      m,
		logger:    log.With(l, "vm", m.Name()),
		counts:    new(expvar.Map).Init(),
		clock:     clock.New(),
		fleet:     fleet.New(),
		store:     store.New(s.Store()),
		reclaimed: make(chan struct{}),
	}
	n.guard = guard.New(n.logger)
	if err := n.loadTLS(); err != nil {
		return nil, err
	}
	n.events = event.New(m.Name(), n.clock)
	x, err := dgram.New(m.Name(), m.Address(), s.PeerSecrets(), n.guard, n.counters("mesh"))
	if err != nil {
		return nil, err
	}
	n.transport = x
	n.client = rpccli.New(n.clock, n.tls)
	n.control = ctrl.New(m, n.store, vmlist.New(s.VMList()), n.transport, n.client, n.events, n.counters)
	n.jobs = jobs.New(n.store)
	n.replicator = copies.New(n.client, n.control.Roster(), s.Replicas())
	n.control.Roster().OnUpdate(n.checkLeaving)
	return n, n.setRole()
}

// loadTLS loads the certificates, if the settings name any.
func (n *Node) loadTLS() error {
	c, k, a, ok := n.settings.TLS()
	if !ok {
		return nil
	}
	x, err := cert.New(c, k, a)
	if err != nil {
		return err
	}
	n.tls = x.Config
	return nil
}

func (n *Node) setRole() error {
	if d := n.settings.DataFolder(); d != "" {
		k, err := disk.New(d)
		if err != nil {
			return err
		}
		n.disk = k
	}
	if n.settings.Role() == bulrushlug.RoleEntry {
		n.role = newEntry(n)
		return nil
	}
	n.role = newAgent(n)
	return nil
}

// counters returns a new map of counters for the component called name.
func (n *Node) counters(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	n.counts.Set(name, m)
	return m
}

// checkLeaving starts the shutdown once the VM list l says that the platform reclaims this VM.
func (n *Node) checkLeaving(l []bulrushlug.Member) {
	for _, m := range l {
		if m.Name() == n.self.Name() && m.Leaving() && n.leaving.CompareAndSwap(false, true) {
			_ = n.logger.Log("event", "leaving", "reason", "VM list")
			close(n.reclaimed)
		}
	}
}

// Run serves until c ends or the platform reclaims the VM; then it drains: it finishes or hands over its work.
func (n *Node) Run(c context.Context) error {
	work, stop := context.WithCancelCause(context.WithoutCancel(c))
	defer stop(nil)
	g := &group{fail: stop}
	l, err := net.Listen("tcp", n.settings.Listen())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, n.settings.Listen(), err)
	}
	n.transport.OnMessage(n.receive)
	g.run(work, n.transport.Run)
	g.run(work, func(c context.Context) error { return n.server().Run(c, l) })
	g.run(work, n.control.Run)
	g.run(work, n.serveDebug)
	if err := n.role.start(work, g); err != nil {
		return err
	}
	batchContext, stopBatch := context.WithCancel(work)
	defer stopBatch()
	batches := &group{fail: stop}
	n.startBatch(batchContext, batches)
	_ = n.logger.Log("event", "started", "role", n.settings.Role(), "listen", n.settings.Listen())
	select {
	case <-c.Done():
	case <-work.Done():
	case <-n.reclaimed:
	}
	if err := context.Cause(work); err != nil {
		_ = n.logger.Log("event", "failed", "err", err)
		return err
	}
	n.drain(stopBatch, batches)
	stop(nil)
	g.wait.Wait()
	_ = n.client.Close()
	_ = n.logger.Log("event", "stopped")
	return nil
}

// drain releases the batch jobs and then drains the role, within the drain time of the settings.
func (n *Node) drain(stopBatch func(), batches *group) {
	n.leaving.Store(true)
	_ = n.logger.Log("event", "draining")
	n.events.Record(bulrushlug.NewEvent("draining"))
	c, stop := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer stop()
	stopBatch()
	batches.wait.Wait()
	n.role.drain(c)
}

func (n *Node) server() *rpcsrv.Server {
	return rpcsrv.New(n.guard, n.control.State(), n.events, n.clock, n.position,
		rpcsrv.WithStage(n.role.stage()),
		rpcsrv.WithDisk(n.disk),
		rpcsrv.WithTLS(n.tls))
}

func (n *Node) position() *wire.Position {
	return &wire.Position{
		Vm:       n.self.Name(),
		Revision: n.control.State().Config().Revision(),
		Fresh:    n.control.State().Fresh(),
		Role:     n.settings.Role(),
		Leaving:  n.leaving.Load(),
	}
}

func (n *Node) receive(m bulrushlug.Message) {
	n.control.Receive(m)
	n.fleet.Receive(m)
}

// serveDebug serves the counters at /debug/vars, if the settings name an address for them.
func (n *Node) serveDebug(c context.Context) error {
	if n.settings.DebugAddress() == "" {
		return nil
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(n.counts.String()))
	})
	return listen(c, n.settings.DebugAddress(), m)
}

// listen serves h at a until c ends.
func listen(c context.Context, a string, h http.Handler) error {
	s := &http.Server{Addr: a, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(c, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return bulrushlug.WrapError(bulrushlug.KindInternal, a, err)
	}
	return nil
}

const (
	headerTimeout = 10 * time.Second // Longest time for a caller to send its headers.
	idleTimeout   = 2 * time.Minute  // Time after which an idle connection from a caller is closed.
)

// startBatch runs batch jobs and chunk repair if the process has a data folder.
func (n *Node) startBatch(c context.Context, g *group) {
	if n.disk == nil {
		return
	}
	counts := n.counters("batch")
	p := pipe.New(
		relay.New(n.client, n.fleet, n.events),
		tally.New(n.counters("items"), n.events),
		place.New(n.control.State(), n.control.Roster(), n.fleet, choose.New(n.self.Zone())))
	r := batch.New(n.self.Name(),
		batch.WithPipe(p, sched.New(n.capacity)),
		batch.WithStores(n.jobs, n.replicator),
		batch.WithMembership(n.control.State(), n.control.Roster(), n.client),
		batch.WithTelemetry(n.events, counts))
	g.run(c, r.Run)
	g.run(c, repair.New(n.self.Name(), n.jobs, n.replicator, n.control.Roster(), n.settings.Retention(), n.events, counts).Run)
}

// capacity returns how many batch items the live backend servers can take: two for each slot, one running and one
// queued, less the online requests.
func (n *Node) capacity() int {
	c := 0
	for _, v := range n.fleet.All() {
		if v.Live() && !v.LoadReport().Leaving() {
			c += 2*int(v.LoadReport().Slots()) - int(v.LoadReport().Online())
		}
	}
	return max(1, c)
}
