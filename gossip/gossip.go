// Package gossip sends what a process has under way to all other processes.
package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/peers"
)

const (
	shortest = 100 * time.Millisecond // Time between reports in a small system.
	longest  = 500 * time.Millisecond // Below half of the age at which a silent process counts as lost.
	perPeer  = 8 * time.Millisecond   // Part of the time between reports for each other process; bounds what one receives.
)

// Gossip reports for one process.
type Gossip struct {
	peers    *peers.Peers
	mesh     bulrushlug.Mesh
	boot     uint64
	sequence atomic.Uint64
	options  func() []bulrushlug.ReportOption
	leaving  atomic.Bool
}

// New returns what reports the parts that f returns to the processes in p over m.
func New(p *peers.Peers, m bulrushlug.Mesh, boot uint64, f func() []bulrushlug.ReportOption) *Gossip {
	return &Gossip{peers: p, mesh: m, boot: boot, options: f}
}

// Run reports until c ends.
func (g *Gossip) Run(c context.Context) error {
	for c.Err() == nil {
		n := g.Tell()
		_ = bulrushlug.Wait(c, min(longest, max(shortest, time.Duration(n)*perPeer)))
	}
	return nil
}

// Leave says in all further reports that the process is leaving, and reports at once.
func (g *Gossip) Leave() {
	g.leaving.Store(true)
	g.Tell()
}

// Tell reports at once and returns the number of processes told.
func (g *Gossip) Tell() int {
	l := g.peers.All()
	g.send(l)
	return len(l)
}

// TellTo reports at once to the processes on the given VMs.
func (g *Gossip) TellTo(vms []string) {
	var l []peers.Peer
	for _, v := range vms {
		if p, ok := g.peers.On(v); ok {
			l = append(l, p)
		}
	}
	g.send(l)
}

func (g *Gossip) send(l []peers.Peer) {
	m := bulrushlug.MessageReport(g.report())
	for _, p := range l {
		g.mesh.Send(p.Member().Address(), bulrushlug.NewMessage(m))
	}
}

func (g *Gossip) report() bulrushlug.Report {
	s := g.peers.Self().WithLeaving(g.leaving.Load())
	return bulrushlug.NewReport(s, g.boot, g.sequence.Add(1), g.options()...)
}
