// Package daemon assembles a process, in the role of an entry or a data process, that sends requests directly to backend
// servers.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/bcast"
	"bulrushlug.dev/bulrushlug/budget"
	"bulrushlug.dev/bulrushlug/crowd"
	"bulrushlug.dev/bulrushlug/dgram"
	"bulrushlug.dev/bulrushlug/even"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/intake"
	"bulrushlug.dev/bulrushlug/least"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lotlog"
	"bulrushlug.dev/bulrushlug/lotsrv"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/meter"
	"bulrushlug.dev/bulrushlug/mirror"
	"bulrushlug.dev/bulrushlug/peers"
	"bulrushlug.dev/bulrushlug/platform"
	"bulrushlug.dev/bulrushlug/poison"
	"bulrushlug.dev/bulrushlug/reach"
	"bulrushlug.dev/bulrushlug/setup"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/warm"
)

const (
	memberPrefix = "bulrushlug/vm/"
	lotPrefix    = "bulrushlug/lot/"
	leaseTTL     = 9 * time.Second // TTL of the lease on the process's membership entry, in which it is renewed three times or more.
	// watcherCount is the number of processes that watch the key-value service; the others fetch changes from them when a report
	// announces one. It is outageWatchers while some processes don't reach the service: those that follow may not either.
	watcherCount   = 2
	outageWatchers = 4
	announceDelay  = 5 * time.Millisecond
	watcherTimeout = 2 * time.Second // Timeout of each watch; shorter than the time after an outage of the service for which time limits are suspended.
)

// Daemon is one process of the system.
type Daemon struct {
	settings       atomic.Pointer[setup.Settings]
	logger         log.Logger
	counters       *expvar.Map
	leavingCounts  *expvar.Map // What told this process that backend servers are leaving.
	platform       *platform.Platform
	store          *reach.Store
	lotLog         *lotlog.Log // Nil without a data directory.
	membership     *peers.Membership
	transport      *dgram.Transport
	broadcaster    *bcast.Broadcaster
	lotClient      *lotcli.Client
	gate           *warm.Gate
	slotTable      *slots.Table
	limiter        *meter.Limiter
	recorder       *recorder
	guard          *guard.Guard
	detector       *poison.Detector
	memory         *memory.Budget                      // For what responses of backend servers hold.
	announcing     atomic.Bool                         // A report about a crash or a cold server is about to be sent.
	manifest       atomic.Pointer[bulrushlug.Manifest] // Nil before the first one; its version never decreases.
	retiring       atomic.Pointer[map[string]bool]     // VMs that operators are retiring; nil before the first read.
	manifestReady  chan struct{}                       // Closed when the first manifest arrives.
	snapshotPeers  chan bulrushlug.Member              // Next process to fetch a snapshot from: it has seen a change that this one has not.
	manifestOnce   sync.Once
	operatorMirror *mirror.Mirror // Replica of the operators' entries: the manifest, the VMs to retire and the zones to evacuate.
	backendMirror  *mirror.Mirror // Replica of the registrations of the backend servers.
	roleHandler    roleHandler

	healthCounts     *expvar.Map // Health checks of backend servers.
	evacuationCounts *expvar.Map
	evacuationMu     sync.Mutex
	evacuations      map[string]slots.Evacuation // Effect of evacuated zones by service, as last logged; guarded by evacuationMu.

	plan            budget.Plan // How memory and descriptors are divided.
	refusals        *expvar.Map // What was refused to callers, by reason.
	refusalLimiters sync.Map    // A *lines.Limiter by reason.
}

// roleHandler implements what differs between the roles.
type roleHandler interface {
	// serve runs until c ends, and then finishes or hands over the work of the process.
	serve(c context.Context) error
	// rpcServer returns the server for RPCs from other processes.
	rpcServer() *lotsrv.Server
	// handleReport handles a report from another process.
	handleReport(r bulrushlug.Report)
	// explainLot writes where a lot would go now.
	explainLot(w io.Writer)
	// reportOptions returns what the role adds to the process's reports.
	reportOptions() []bulrushlug.ReportOption
}

// New returns the process with the given settings, which logs to l.
func New(s *setup.Settings, l log.Logger) (*Daemon, error) {
	p := platform.New(s.Store(), func() {})
	x := &Daemon{logger: log.With(l, "vm", s.Member().Name()), counters: new(expvar.Map).Init(),
		platform: p, store: reach.New(p.Store()), lotClient: lotcli.New(), manifestReady: make(chan struct{}), snapshotPeers: make(chan bulrushlug.Member, 1)}
	x.settings.Store(s)
	x.plan = budget.New(s.Memory(), s.Descriptors(), s.MaxConnections())
	x.refusals = new(expvar.Map).Init()
	x.counters.Set("callersRefused", x.refusals)
	x.recorder = newRecorder(x.logger)
	x.guard = guard.New(x.logger)
	x.detector = poison.New(p.Refuses, x.announce, x.logger, x.counters)
	x.memory = memory.New(x.plan.ResponseBytes())
	x.leavingCounts = new(expvar.Map).Init()
	x.counters.Set("serversLeaving", x.leavingCounts)
	x.healthCounts = new(expvar.Map).Init()
	x.counters.Set("healthChecks", x.healthCounts)
	x.evacuationCounts = new(expvar.Map).Init()
	x.counters.Set("evacuations", x.evacuationCounts)
	x.gate = warm.New(s.Member().Name(), s.Member().Role() != bulrushlug.RoleEntry, s.Warmup(), func() ([]string, uint64) { return x.membership.SameRole() })
	disk := ""
	if d := s.DataFolder(); d != "" {
		g, err := lotlog.Open(d)
		if err != nil {
			return nil, err
		}
		x.lotLog, disk = g, g.DiskID()
	}
	boot := uint64(time.Now().UnixMilli())
	lease := max(leaseTTL, s.MinLease())
	x.membership = peers.New(s.Member(), boot, disk, x.store, memberPrefix, lease, x.logger, peers.WithLookout(func() bool { return x.watchTimeout() > 0 }))
	x.slotTable = slots.New(s.Member().Name(), x.batchRunners, slots.WithGate(x.gate), slots.WithChooser(newChooser(s.Placement())))
	x.counters.Set("placements", x.slotTable.Counts())
	x.limiter = meter.New(x, x.membership.CountHeard, boot, s.FirstStart(), s.Tolerance())
	m, err := dgram.New(s.Member().Name(), s.Member().Address(), nil, x.guard, x.counters)
	if err != nil {
		return nil, err
	}
	m.OnMessage(x.handleMessage)
	x.transport = m
	x.broadcaster = bcast.New(x.membership, m, boot, x.buildReport)
	x.operatorMirror = mirror.New(x.store, platform.ManifestPrefix, x.logger, x.protect("manifest", x.setManifest), mirror.WithWatchTimeout(x.watchTimeout))
	x.backendMirror = mirror.New(x.store, platform.BackendPrefix, x.logger, x.protect("servers", x.setBackends), mirror.WithGracePeriod(), mirror.WithWatchTimeout(x.watchTimeout))
	if s.Member().Role() == bulrushlug.RoleEntry {
		x.roleHandler = newEntry(x)
		return x, nil
	}
	x.roleHandler, err = newData(x)
	return x, err
}

// newChooser returns what chooses the servers of online requests under setting p.
func newChooser(p string) bulrushlug.Chooser {
	if p == setup.PlacementEven {
		return even.New()
	}
	return least.New()
}

// Reload replaces the settings by c. It fails with KindBadRequest if c changes identity, addresses or data directory,
// which are fixed while the process runs.
func (s *Daemon) Reload(c *setup.Settings) error {
	old := s.settings.Load()
	if c.Member() != old.Member() || c.Store() != old.Store() || c.DataFolder() != old.DataFolder() || c.HTTP() != old.HTTP() || c.Ready() != old.Ready() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "settings of %s: a change of vm, region, zone, role, addresses or data folder needs a restart", old.Member().Name())
	}
	s.settings.Store(c)
	_ = s.logger.Log("event", "reload")
	return nil
}

// Config returns the organisations and routes, or nil before the first manifest.
func (s *Daemon) Config() *bulrushlug.Config {
	m := s.manifest.Load()
	if m == nil {
		return nil
	}
	return m.Config()
}

// Fresh reports whether there is a manifest. It needs no staleness bound, since changes arrive by watches and from peers.
func (s *Daemon) Fresh() bool { return s.manifest.Load() != nil }

// Accepted returns the version of the manifest; zero if there is none.
func (s *Daemon) Accepted() uint64 { return s.manifestVersion() }

// manifestVersion returns the version of the manifest; zero if there is none.
func (s *Daemon) manifestVersion() uint64 {
	if m := s.manifest.Load(); m != nil {
		return m.Version()
	}
	return 0
}

// batchRunners returns the VMs of the other processes that run batch items.
func (s *Daemon) batchRunners() (l []string) {
	for _, p := range s.membership.LiveDataPeers() {
		l = append(l, p.Member().Name())
	}
	return l
}

// isRetiring reports whether operators are retiring VM v, so that its lots must move elsewhere.
func (s *Daemon) isRetiring(v string) bool {
	m := s.retiring.Load()
	return m != nil && (*m)[v]
}

// protect returns f under the guard: a value that f does not expect leaves the state as it is.
func (s *Daemon) protect(task string, f func(l []bulrushlug.KVEntry)) func(l []bulrushlug.KVEntry) {
	return func(l []bulrushlug.KVEntry) { _ = s.guard.Do(task, func() { f(l) }) }
}

// setManifest applies the operators' entries: the manifest, the VMs to retire and the zones to evacuate.
func (s *Daemon) setManifest(l []bulrushlug.KVEntry) {
	r := s.platform.RetiringVMs(l)
	s.retiring.Store(&r)
	s.setEvacuated(l)
	m, err := s.platform.Manifest(l)
	if err != nil {
		_ = s.logger.Log("event", "badManifest", "err", err)
		return
	}
	if m == nil || m.Version() <= s.manifestVersion() {
		return
	}
	s.gate.SetServices(m.Services())
	s.manifest.Store(m)
	s.manifestOnce.Do(func() { close(s.manifestReady) })
	_ = s.logger.Log("event", "manifest", "version", m.Version())
}

// setBackends applies the registrations of the backend servers.
func (s *Daemon) setBackends(l []bulrushlug.KVEntry) {
	b, bad := s.platform.Backends(l)
	s.gate.Update(b)
	s.slotTable.Update(b)
	if len(bad) > 0 {
		_ = s.logger.Log("event", "badServers", "count", len(bad), "first", bad[0])
	}
	draining := 0
	for _, x := range b {
		if x.Draining() {
			draining++
		}
	}
	_ = s.logger.Log("event", "servers", "count", len(b), "draining", draining)
	s.logEvacuations()
}

// buildReport returns the content of the process's next report.
func (s *Daemon) buildReport() []bulrushlug.ReportOption {
	o := []bulrushlug.ReportOption{
		bulrushlug.ReportState(s.membership.DiskID(), s.manifestVersion()),
		bulrushlug.ReportSeenRevisions(s.operatorMirror.NewestRevision(), s.backendMirror.NewestRevision()),
		bulrushlug.ReportUsages(s.slotTable.Usages()),
		bulrushlug.ReportStoreLost(s.storeSilent()),
		bulrushlug.ReportServerEnds(s.detector.ServerEnds()),
		bulrushlug.ReportSuspects(s.detector.Suspects()),
		bulrushlug.ReportLeaving(s.slotTable.Leaving()),
		bulrushlug.ReportUnreachable(s.gate.Suspects()),
		bulrushlug.ReportCold(s.gate.Told()),
	}
	return append(o, s.roleHandler.reportOptions()...)
}

// announce tells the other processes of a server that ended or turned cold; those within announceDelay share one report.
func (s *Daemon) announce() {
	if s.announcing.Swap(true) {
		return
	}
	time.AfterFunc(announceDelay, func() {
		s.announcing.Store(false)
		s.broadcaster.Broadcast()
	})
}

// storeLost reports whether this process can't reach the key-value service.
func (s *Daemon) storeLost() bool {
	return s.operatorMirror.OutageDuration() > 0 || s.backendMirror.OutageDuration() > 0 || s.membership.StoreLost()
}

// storeSilent is storeLost, or true as soon as a call should have been answered.
func (s *Daemon) storeSilent() bool { return s.store.Overdue() || s.storeLost() }

// handleRelayedReport applies usage, leaving servers, admission counts and lots of a relayed report whose origin is not
// heard from directly. It does not update the membership, since a relayed report is no evidence that its origin is
// reachable.
func (s *Daemon) handleRelayedReport(r bulrushlug.Report) {
	if p, ok := s.membership.ByVM(r.Member().Name()); ok && p.Alive() {
		return
	}
	s.applyServers(r)
	s.roleHandler.handleReport(r)
}

// applyServers applies what r says of backend servers.
func (s *Daemon) applyServers(r bulrushlug.Report) {
	s.slotTable.UpdateRemote(r.Member().Name(), r.Usages())
	s.detector.MergeServerEnds(r.ServerEnds())
	s.detector.Merge(r.Suspects())
	s.applyLeaving(r)
	s.gate.SuspectReported(r.Member().Name(), r.Unreachable())
	s.gate.ColdReported(r.Cold())
}

// handleMessage handles a message from another process.
func (s *Daemon) handleMessage(m bulrushlug.Message) {
	r := m.Report()
	switch {
	case r == nil:
		return
	case r.Relayed():
		s.handleRelayedReport(*r)
		return
	case len(r.ForwardTo()) > 0:
		s.broadcaster.Relay(*r)
		return
	case !s.membership.ApplyReport(*r):
		return
	}
	s.applyServers(*r)
	s.observeRevisions(*r)
	s.roleHandler.handleReport(*r)
}

// Run runs the process until c ends, and then shuts down gracefully.
func (s *Daemon) Run(c context.Context) error {
	debug.SetMemoryLimit(int64(s.plan.HeapLimit()))
	_ = s.logger.Log("event", "start", "role", s.membership.Self().Role(), "pid", os.Getpid(), "disk", s.membership.DiskID())
	defer func() { _ = s.logger.Log("event", "stop") }()
	bg, stop := context.WithCancelCause(context.WithoutCancel(c))
	defer stop(nil)
	l, err := net.Listen("tcp", s.membership.Self().Address())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, s.membership.Self().Address(), err)
	}
	var w sync.WaitGroup
	run := func(f func(c context.Context) error) {
		w.Go(func() {
			if err := f(bg); err != nil && bg.Err() == nil {
				stop(err)
			}
		})
	}
	disk := s.lotLog != nil
	i := intake.New(l, crowd.New(s.plan.Peers(disk)), memory.New(s.plan.MessageBytes(disk)), s.recordRefusal)
	run(func(c context.Context) error { return s.roleHandler.rpcServer().Run(c, i) })
	run(s.transport.Run)
	run(s.membership.Run)
	run(s.broadcaster.Run)
	run(s.operatorMirror.Run)
	run(s.backendMirror.Run)
	run(s.fetchSnapshots)
	run(s.watchIsolation)
	run(s.checkHealth)
	s.serveMetrics(bg)
	both, end := context.WithCancel(c)
	defer end()
	context.AfterFunc(bg, end)
	err = s.roleHandler.serve(both)
	stop(nil)
	w.Wait()
	if x := context.Cause(bg); x != nil && !errors.Is(x, context.Canceled) {
		return x
	}
	return err
}
