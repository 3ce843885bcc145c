package daemon

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/items"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/lotsrv"
)

const (
	retireTime = 300 * time.Millisecond // Time between looks whether the disk is empty.
	handOver   = 1500 * time.Millisecond
)

// data keeps lots and runs their items.
type data struct {
	*Daemon
	keeper *lots.ReplicaManager
	runner *items.Runner
}

func newData(s *Daemon) (*data, error) {
	d := &data{Daemon: s}
	d.keeper = lots.New(s.log, s.client, s.platform.Store(), lotPrefix, s.peers, s.logger,
		lots.WithReplicationFactor(s.settings.Load().Copies()), lots.WithRetention(s.settings.Load().Status()), lots.WithRetiring(s.isRetiring), lots.WithStoreLost(s.storeLost),
		lots.WithWorkCallback(func() { d.runner.Wake() }),
		lots.WithProgress(func(i string, n uint32, after uint64) []string { return d.runner.Progress(i, n, after) }))
	d.runner = items.New(d.keeper, s.table, s.platform.BackendClient(), s, s.logger)
	if err := d.keeper.Load(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *data) server() *lotsrv.Server { return lotsrv.New(d.keeper, d.snapshot) }

// parts returns the lots that callers should look for here.
func (d *data) parts() []bulrushlug.ReportOption {
	return []bulrushlug.ReportOption{bulrushlug.ReportLots(d.keeper.RecentlyPromoted())}
}

// heard makes room for online requests.
func (d *data) heard(bulrushlug.Report) { d.runner.PreemptExcess() }

// run keeps lots until c ends, and then lets the other replicas take them over.
func (d *data) run(c context.Context) error {
	k, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.keeper.Run(k)
	}()
	go d.retire(c)
	select {
	case <-d.known:
		_ = d.runner.Run(c)
	case <-c.Done():
	}
	<-c.Done()
	d.gossip.Leave()
	_ = d.logger.Log("event", "leave", "lots", d.keeper.Count())
	_ = bulrushlug.Sleep(k, handOver)
	stop()
	<-done
	return nil
}

// retire says when nothing depends on the disk of a VM that operators want emptied.
func (d *data) retire(c context.Context) {
	said := ""
	for bulrushlug.Sleep(c, retireTime) == nil {
		v := d.peers.Self().Name()
		if !d.isRetiring(v) {
			said = ""
			continue
		}
		s := "running"
		if d.keeper.Count() == 0 {
			s = "done"
		}
		if s == said {
			continue
		}
		if _, err := d.platform.Store().Commit(c, nil, []bulrushlug.Write{d.platform.RetirementStatus(v, s == "done")}); err != nil {
			_ = d.logger.Log("event", "retireNotSaid", "state", s, "err", err)
			continue
		}
		said = s
		_ = d.logger.Log("event", "retire", "state", s)
	}
}
