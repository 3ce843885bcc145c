package daemon

import (
	"context"
	"expvar"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/items"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/lotsrv"
	"bulrushlug.dev/bulrushlug/platform"
)

const (
	retireCheckInterval = 300 * time.Millisecond  // Interval between checks whether the disk is empty.
	handoverTime        = 1500 * time.Millisecond // Time for the other replicas to take over before this process stops.
)

// data is the role of a process that stores lots and runs their items.
type data struct {
	*Daemon
	replicas *lots.ReplicaManager
	runner   *items.Runner
}

func newData(s *Daemon) (*data, error) {
	d := &data{Daemon: s}
	d.replicas = lots.New(s.lotLog, s.lotClient, s.store, lotPrefix, s.membership, s.logger,
		lots.WithReplicationFactor(s.settings.Load().ReplicationFactor()), lots.WithRetention(s.settings.Load().Retention()), lots.WithRetiring(s.isRetiring), lots.WithStoreDown(s.storeLost),
		lots.WithRoom(s.plan.LotBytes(), s.plan.Lots()),
		lots.WithWorkCallback(func() { d.runner.Wake() }),
		lots.WithProgress(func(i string, n uint32, text, after uint64) bulrushlug.LotProgress {
			return d.runner.Progress(i, n, text, after)
		}))
	counts := new(expvar.Map).Init()
	s.counters.Set("itemRunsEnded", counts)
	d.runner = items.New(d.replicas, s.slotTable, s.platform.BackendClient(s), s, s.detector, platform.Prompt, s.guard, s.logger, counts, s.memory)
	s.counters.Set("itemsQuarantined", expvar.Func(func() any { return d.runner.Held() }))
	s.counters.Set("itemsWaiting", expvar.Func(func() any { return d.runner.Waiting() }))
	s.counters.Set("itemsWaitingLongest", expvar.Func(func() any { return d.runner.LongestWaits() }))
	s.counters.Set("lotBytesHeld", expvar.Func(func() any { return d.replicas.HeldBytes() }))
	s.counters.Set("lotsRefused", expvar.Func(func() any { return d.replicas.Refused() }))
	s.counters.Set("lotsUnserved", expvar.Func(func() any { return d.replicas.Unserved() }))
	if err := d.replicas.Load(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *data) rpcServer() *lotsrv.Server { return lotsrv.New(d.replicas, d.guard, d.snapshot) }

// reportOptions returns the lots of which this process recently became the primary.
func (d *data) reportOptions() []bulrushlug.ReportOption {
	return []bulrushlug.ReportOption{bulrushlug.ReportLots(d.replicas.RecentlyPromoted())}
}

// handleReport preempts batch items whose slots online requests need according to the slot table, which has the usage
// in the report already.
func (d *data) handleReport(bulrushlug.Report) { d.runner.PreemptExcess() }

// serve stores lots and runs their items until c ends, and then lets the other replicas take over.
func (d *data) serve(c context.Context) error {
	k, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.replicas.Run(k)
	}()
	go d.reportRetirement(c)
	_ = d.runner.Run(c)
	d.broadcaster.Leave()
	_ = d.logger.Log("event", "leave", "lots", d.replicas.LotCount())
	_ = bulrushlug.Sleep(k, handoverTime)
	stop()
	<-done
	return nil
}

// reportRetirement writes to the key-value service, while operators are retiring this VM, whether its disk still holds
// lots.
func (d *data) reportRetirement(c context.Context) {
	reported := ""
	for bulrushlug.Sleep(c, retireCheckInterval) == nil {
		v := d.membership.Self().Name()
		if !d.isRetiring(v) {
			reported = ""
			continue
		}
		s := "running"
		if d.replicas.LotCount() == 0 {
			s = "done"
		}
		if s == reported {
			continue
		}
		if _, err := d.store.Commit(c, nil, []bulrushlug.Write{d.platform.RetirementStatus(v, s == "done")}); err != nil {
			_ = d.logger.Log("event", "retireNotSaid", "state", s, "err", err)
			continue
		}
		reported = s
		_ = d.logger.Log("event", "retire", "state", s)
	}
}
