// Package daemon puts the parts of a process together that serves backend servers directly.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/bcast"
	"bulrushlug.dev/bulrushlug/dgram"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lotlog"
	"bulrushlug.dev/bulrushlug/lotsrv"
	"bulrushlug.dev/bulrushlug/meter"
	"bulrushlug.dev/bulrushlug/mirror"
	"bulrushlug.dev/bulrushlug/peers"
	"bulrushlug.dev/bulrushlug/platform"
	"bulrushlug.dev/bulrushlug/setup"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	memberPrefix = "bulrushlug/vm/"
	lotPrefix    = "bulrushlug/lot/"
	leaseTime    = 3 * time.Second // Lease of the entry of a process; renewed every third of it.
	lookouts     = 2               // Processes that watch the key-value service; the others ask them once a report names a change.
	lookoutWatch = 2 * time.Second // Less than the time after trouble in the service at which its bounds count again.
)

// Daemon is one process.
type Daemon struct {
	settings atomic.Pointer[setup.Settings]
	logger   log.Logger
	counts   *expvar.Map
	platform *platform.Platform
	log      *lotlog.Log // Nil without a data folder.
	peers    *peers.Membership
	mesh     *dgram.Transport
	gossip   *bcast.Broadcaster
	client   *lotcli.Client
	table    *slots.Table
	meter    *meter.Limiter
	events   *recorder
	manifest atomic.Pointer[bulrushlug.Manifest] // Nil before the first one; its version never falls.
	retiring atomic.Pointer[map[string]bool]
	known    chan struct{}          // Closed once there is a manifest.
	news     chan bulrushlug.Member // A process that saw a change which this one did not see.
	once     sync.Once
	operated *mirror.Mirror
	servers  *mirror.Mirror
	role     role
}

// role is what only one role of a process does.
type role interface {
	// run serves until c ends, and then finishes or hands over what the process has.
	run(c context.Context) error
	// server returns what answers calls of other processes.
	server() *lotsrv.Server
	// heard handles a report of another process.
	heard(r bulrushlug.Report)
	// parts returns what the role adds to the reports of the process.
	parts() []bulrushlug.ReportOption
}

// New returns the process with the given settings; its log lines go to l.
func New(s *setup.Settings, l log.Logger) (*Daemon, error) {
	p := platform.New(s.Store(), func() {})
	x := &Daemon{logger: log.With(l, "vm", s.Member().Name()), counts: new(expvar.Map).Init(),
		platform: p, client: lotcli.New(), known: make(chan struct{}), news: make(chan bulrushlug.Member, 1)}
	x.settings.Store(s)
	x.events = newRecorder(x.logger)
	disk := ""
	if d := s.DataFolder(); d != "" {
		g, err := lotlog.Open(d)
		if err != nil {
			return nil, err
		}
		x.log, disk = g, g.DiskID()
	}
	boot := uint64(time.Now().UnixMilli())
	lease := max(leaseTime, s.LeaseMin())
	x.peers = peers.New(s.Member(), boot, disk, p.Store(), memberPrefix, lease, x.logger)
	x.table = slots.New(s.Member().Name(), x.rivals)
	x.meter = meter.New(x, x.peers.CountHeard, boot, s.FirstStart(), s.Tolerance())
	m, err := dgram.New(s.Member().Name(), s.Member().Address(), nil, x.counts)
	if err != nil {
		return nil, err
	}
	m.OnMessage(x.message)
	x.mesh = m
	x.gossip = bcast.New(x.peers, m, boot, x.report)
	x.operated = mirror.New(p.Store(), platform.ManifestPrefix, x.logger, x.setManifest, mirror.WithWatchTimeout(x.watchTime))
	x.servers = mirror.New(p.Store(), platform.BackendPrefix, x.logger, x.setServers, mirror.WithGracePeriod(), mirror.WithWatchTimeout(x.watchTime))
	if s.Member().Role() == bulrushlug.RoleEntry {
		x.role = newEntry(x)
		return x, nil
	}
	x.role, err = newData(x)
	return x, err
}

// Reload makes c the settings; what names the process and its addresses can't change while it runs.
func (s *Daemon) Reload(c *setup.Settings) error {
	old := s.settings.Load()
	if c.Member() != old.Member() || c.Store() != old.Store() || c.DataFolder() != old.DataFolder() || c.HTTP() != old.HTTP() || c.Ready() != old.Ready() {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "settings of %s: name, place, role, addresses and folder need a new start", old.Member().Name())
	}
	s.settings.Store(c)
	_ = s.logger.Log("event", "reload")
	return nil
}

// Config returns organisations and routes, or nil before the first manifest.
func (s *Daemon) Config() *bulrushlug.Config {
	m := s.manifest.Load()
	if m == nil {
		return nil
	}
	return m.Config()
}

// Fresh reports whether there is a manifest; operators' changes come by watches and by other processes.
func (s *Daemon) Fresh() bool { return s.manifest.Load() != nil }

// Accepted returns the version of the manifest.
func (s *Daemon) Accepted() uint64 { return s.version() }

func (s *Daemon) version() uint64 {
	if m := s.manifest.Load(); m != nil {
		return m.Version()
	}
	return 0
}

// rivals returns the other processes that run batch items.
func (s *Daemon) rivals() (l []string) {
	for _, p := range s.peers.LiveDataPeers() {
		l = append(l, p.Member().Name())
	}
	return l
}

// isRetiring reports whether operators want the VM v emptied.
func (s *Daemon) isRetiring(v string) bool {
	m := s.retiring.Load()
	return m != nil && (*m)[v]
}

// setManifest takes over the entries that operators wrote.
func (s *Daemon) setManifest(l []bulrushlug.KVEntry) {
	r := s.platform.RetiringVMs(l)
	s.retiring.Store(&r)
	m, err := s.platform.Manifest(l)
	if err != nil {
		_ = s.logger.Log("event", "badManifest", "err", err)
		return
	}
	if m == nil || m.Version() <= s.version() {
		return
	}
	s.manifest.Store(m)
	s.once.Do(func() { close(s.known) })
	_ = s.logger.Log("event", "manifest", "version", m.Version())
}

// setServers takes over the entries of the backend servers.
func (s *Daemon) setServers(l []bulrushlug.KVEntry) {
	b, bad := s.platform.Backends(l)
	s.table.Update(b)
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
}

// report returns what the process tells the others.
func (s *Daemon) report() []bulrushlug.ReportOption {
	o := []bulrushlug.ReportOption{
		bulrushlug.ReportState(s.peers.Disk(), s.version()),
		bulrushlug.ReportSeen(s.operated.NewestRevision(), s.servers.NewestRevision()),
		bulrushlug.ReportUsages(s.table.Usages()),
		bulrushlug.ReportStoreLost(s.storeLost()),
	}
	return append(o, s.role.parts()...)
}

// storeLost reports whether the key-value service does not answer this process.
func (s *Daemon) storeLost() bool {
	return s.operated.OutageDuration() > 0 || s.servers.OutageDuration() > 0 || s.peers.StoreLost()
}

// relayed takes over what an entry that is not heard has under way; nothing else follows from a relayed report.
func (s *Daemon) relayed(r bulrushlug.Report) {
	if p, ok := s.peers.ByVM(r.Member().Name()); ok && p.Alive() {
		return
	}
	s.table.UpdateRemote(r.Member().Name(), r.Usages())
	s.role.heard(r)
}

// message handles a message of another process.
func (s *Daemon) message(m bulrushlug.Message) {
	r := m.Report()
	switch {
	case r == nil:
		return
	case r.Relayed():
		s.relayed(*r)
		return
	case len(r.Forward()) > 0:
		s.gossip.Relay(*r)
		return
	case !s.peers.ApplyReport(*r):
		return
	}
	s.table.UpdateRemote(r.Member().Name(), r.Usages())
	s.hear(*r)
	s.role.heard(*r)
}

// Run serves until c ends, and then stops gracefully.
func (s *Daemon) Run(c context.Context) error {
	_ = s.logger.Log("event", "start", "role", s.peers.Self().Role(), "pid", os.Getpid(), "disk", s.peers.Disk())
	defer func() { _ = s.logger.Log("event", "stop") }()
	bg, stop := context.WithCancelCause(context.WithoutCancel(c))
	defer stop(nil)
	l, err := net.Listen("tcp", s.peers.Self().Address())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, s.peers.Self().Address(), err)
	}
	var w sync.WaitGroup
	run := func(f func(c context.Context) error) {
		w.Go(func() {
			if err := f(bg); err != nil && bg.Err() == nil {
				stop(err)
			}
		})
	}
	run(func(c context.Context) error { return s.role.server().Run(c, l) })
	run(s.mesh.Run)
	run(s.peers.Run)
	run(s.gossip.Run)
	run(s.operated.Run)
	run(s.servers.Run)
	run(s.ask)
	s.serveMetrics(bg)
	both, end := context.WithCancel(c)
	defer end()
	context.AfterFunc(bg, end)
	err = s.role.run(both)
	stop(nil)
	w.Wait()
	if x := context.Cause(bg); x != nil && !errors.Is(x, context.Canceled) {
		return x
	}
	return err
}
