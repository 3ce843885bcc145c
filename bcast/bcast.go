// Package bcast sends what a process has under way to all other processes.
package bcast

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

// Broadcaster reports for one process.
type Broadcaster struct {
	peers    *peers.Membership
	mesh     bulrushlug.Messenger
	boot     uint64
	sequence atomic.Uint64
	options  func() []bulrushlug.ReportOption
	leaving  atomic.Bool
}

// New returns what reports the parts that f returns to the processes in p over m.
func New(p *peers.Membership, m bulrushlug.Messenger, boot uint64, f func() []bulrushlug.ReportOption) *Broadcaster {
	return &Broadcaster{peers: p, mesh: m, boot: boot, options: f}
}

// Run reports until c ends.
func (g *Broadcaster) Run(c context.Context) error {
	for c.Err() == nil {
		n := g.Broadcast()
		_ = bulrushlug.Sleep(c, min(longest, max(shortest, time.Duration(n)*perPeer)))
	}
	return nil
}

// Leave says in all further reports that the process is leaving, and reports at once.
func (g *Broadcaster) Leave() {
	g.leaving.Store(true)
	g.Broadcast()
}

// Broadcast reports at once and returns the number of processes told.
func (g *Broadcaster) Broadcast() int {
	l := g.peers.All()
	g.send(l, unheard(l))
	return len(l)
}

// SendTo reports at once to the processes on the given VMs, and to those with disks that are not heard: what they run
// is not known.
func (g *Broadcaster) SendTo(vms []string) {
	var l []peers.Peer
	for _, v := range vms {
		if p, ok := g.peers.ByVM(v); ok {
			l = append(l, p)
		}
	}
	f := unheard(g.peers.All())
	if len(l)+len(f) > 0 {
		g.send(l, f)
	}
}

// unheard returns the addresses of the processes of l that have disks and entries, and are not heard.
func unheard(l []peers.Peer) (a []string) {
	for _, p := range l {
		if p.Registered() && p.Disk() != "" && !p.Alive() {
			a = append(a, p.Member().Address())
		}
	}
	return a
}

// send reports to the processes in l; an entry has another entry that it hears, each in turn as that may be cut off
// too, pass the report on to the addresses in f.
func (g *Broadcaster) send(l []peers.Peer, f []string) {
	r := g.report()
	for _, p := range l {
		g.mesh.Send(p.Member().Address(), bulrushlug.NewMessage(bulrushlug.MessageReport(r)))
	}
	if len(f) == 0 || g.peers.Self().Role() != bulrushlug.RoleEntry {
		return
	}
	var via []peers.Peer
	for _, p := range g.peers.All() {
		if p.Alive() && p.Member().Role() == bulrushlug.RoleEntry && !p.Member().Leaving() {
			via = append(via, p)
		}
	}
	if len(via) == 0 {
		return
	}
	p := via[r.Sequence()%uint64(len(via))]
	g.mesh.Send(p.Member().Address(), bulrushlug.NewMessage(bulrushlug.MessageReport(r.With(bulrushlug.ReportForward(f)))))
}

// Relay passes the report r on to the processes that its sender does not hear.
func (g *Broadcaster) Relay(r bulrushlug.Report) {
	m := bulrushlug.MessageReport(r.With(bulrushlug.ReportForward(nil), bulrushlug.ReportRelayed(true)))
	for _, a := range r.Forward() {
		g.mesh.Send(a, bulrushlug.NewMessage(m))
	}
}

func (g *Broadcaster) report() bulrushlug.Report {
	s := g.peers.Self().WithLeaving(g.leaving.Load())
	return bulrushlug.NewReport(s, g.boot, g.sequence.Add(1), g.options()...)
}
