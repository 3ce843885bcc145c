// Package node puts the parts of one process together.
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

// lameDuck is the time between the first sign that a process leaves and the end of its listeners.
const lameDuck = 2 * time.Second

// Node is one process.
type Node struct {
	settings *conf.Settings
	self     bulrushlug.Member
	logger   log.Logger
	counts   *expvar.Map
	clock    *clock.Clock
	events   *event.Log
	control  *ctrl.Control
	mesh     *dgram.Transport
	link     *rpccli.Client
	fleet    *fleet.Fleet
	jobs     *jobs.Store
	copies   *copies.Replicator
	store    bulrushlug.Store
	tls      func() *tls.Config
	leaving  atomic.Bool
	taken    chan struct{} // Closed once the platform takes the VM away.
	role     role
	disk     bulrushlug.LocalChunkStore // Nil without a data folder.
}

// role is what only one role of a process does.
type role interface {
	// start starts the parts of the role.
	start(c context.Context, g *group) error
	// stage returns the pipe for calls of other processes, or nil.
	stage() bulrushlug.Stage
	// drain finishes or hands over what the role has.
	drain(c context.Context)
}

// group runs the parts of a process until its context ends.
type group struct {
	wait sync.WaitGroup
	fail context.CancelCauseFunc
}

// run starts f, whose failure ends the process.
func (g *group) run(c context.Context, f func(c context.Context) error) {
	g.wait.Go(func() {
		if err := f(c); err != nil && c.Err() == nil {
			g.fail(err)
		}
	})
}

// New returns the process with the given settings; its log lines go to l.
func New(s *conf.Settings, l log.Logger) (*Node, error) {
	m := s.Member()
	n := &Node{
		settings: s,
		self:     m,
		logger:   log.With(l, "vm", m.Name()),
		counts:   new(expvar.Map).Init(),
		clock:    clock.New(),
		fleet:    fleet.New(),
		store:    store.New(s.Store()),
		taken:    make(chan struct{}),
	}
	if err := n.secure(); err != nil {
		return nil, err
	}
	n.events = event.New(m.Name(), n.clock)
	x, err := dgram.New(m.Name(), m.Address(), s.PeerSecrets(), n.sub("mesh"))
	if err != nil {
		return nil, err
	}
	n.mesh = x
	n.link = rpccli.New(n.clock, n.tls)
	n.control = ctrl.New(m, n.store, vmlist.New(s.VMList()), n.mesh, n.link, n.events, n.sub)
	n.jobs = jobs.New(n.store)
	n.copies = copies.New(n.link, n.control.Roster(), s.Replicas())
	n.control.Roster().OnUpdate(n.notice)
	return n, n.setRole()
}

// secure loads the certificates, if there are any.
func (n *Node) secure() error {
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

// sub returns the counters of one part.
func (n *Node) sub(name string) *expvar.Map {
	m := new(expvar.Map).Init()
	n.counts.Set(name, m)
	return m
}

// notice starts the end of the process once the platform takes its VM away.
func (n *Node) notice(l []bulrushlug.Member) {
	for _, m := range l {
		if m.Name() == n.self.Name() && m.Leaving() && n.leaving.CompareAndSwap(false, true) {
			_ = n.logger.Log("event", "leaving", "reason", "VM list")
			close(n.taken)
		}
	}
}

// Run serves until c ends; then it finishes or hands over what it has.
func (n *Node) Run(c context.Context) error {
	work, stop := context.WithCancelCause(context.WithoutCancel(c))
	defer stop(nil)
	g := &group{fail: stop}
	l, err := net.Listen("tcp", n.settings.Listen())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, n.settings.Listen(), err)
	}
	n.mesh.OnMessage(n.receive)
	g.run(work, n.mesh.Run)
	g.run(work, func(c context.Context) error { return n.server().Run(c, l) })
	g.run(work, n.control.Run)
	g.run(work, n.debug)
	if err := n.role.start(work, g); err != nil {
		return err
	}
	data, stopData := context.WithCancel(work)
	defer stopData()
	batches := &group{fail: stop}
	n.startData(data, batches)
	_ = n.logger.Log("event", "started", "role", n.settings.Role(), "listen", n.settings.Listen())
	select {
	case <-c.Done():
	case <-work.Done():
	case <-n.taken:
	}
	if err := context.Cause(work); err != nil {
		_ = n.logger.Log("event", "failed", "err", err)
		return err
	}
	n.drain(stopData, batches)
	stop(nil)
	g.wait.Wait()
	_ = n.link.Close()
	_ = n.logger.Log("event", "stopped")
	return nil
}

// drain gives the jobs up and then has the role finish or hand over what it has.
func (n *Node) drain(stopData func(), batches *group) {
	n.leaving.Store(true)
	_ = n.logger.Log("event", "draining")
	n.events.Record(bulrushlug.NewEvent("draining"))
	c, stop := context.WithTimeout(context.Background(), n.settings.Drain())
	defer stop()
	stopData()
	batches.wait.Wait()
	n.role.drain(c)
}

func (n *Node) server() *rpcsrv.Server {
	return rpcsrv.New(n.control.State(), n.events, n.clock, n.position,
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

// debug serves the counters, if the settings name an address for them.
func (n *Node) debug(c context.Context) error {
	if n.settings.Debug() == "" {
		return nil
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(n.counts.String()))
	})
	return listen(c, n.settings.Debug(), m)
}

// listen serves h at a until c ends.
func listen(c context.Context, a string, h http.Handler) error {
	s := &http.Server{Addr: a, Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	stop := context.AfterFunc(c, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return bulrushlug.WrapError(bulrushlug.KindInternal, a, err)
	}
	return nil
}

const (
	headerTime = 10 * time.Second // Bounds the time in which a caller sends its headers.
	idleTime   = 2 * time.Minute  // Time after which an idle connection of a caller is closed.
)

// startData runs jobs and repairs chunks where the process has a data folder.
func (n *Node) startData(c context.Context, g *group) {
	if n.disk == nil {
		return
	}
	counts := n.sub("batch")
	p := pipe.New(
		relay.New(n.link, n.fleet, n.events),
		tally.New(n.sub("items"), n.events),
		place.New(n.control.State(), n.control.Roster(), n.fleet, choose.New(n.self.Zone())))
	r := batch.New(n.self.Name(),
		batch.WithPipe(p, sched.New(n.capacity)),
		batch.WithStores(n.jobs, n.copies),
		batch.WithMembership(n.control.State(), n.control.Roster(), n.link),
		batch.WithTelemetry(n.events, counts))
	g.run(c, r.Run)
	g.run(c, repair.New(n.self.Name(), n.jobs, n.copies, n.control.Roster(), n.settings.Retention(), n.events, counts).Run)
}

// capacity returns the batch items that the known backend servers can take: those that run, and one that waits for each slot.
func (n *Node) capacity() int {
	c := 0
	for _, v := range n.fleet.All() {
		if v.Live() && !v.Load().Leaving() {
			c += 2*int(v.Load().Slots()) - int(v.Load().Online())
		}
	}
	return max(1, c)
}
