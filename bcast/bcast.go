// Package bcast broadcasts the load and state of a process to all other processes.
package bcast

import (
	"context"
	"sync/atomic"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/peers"
)

// Broadcaster sends the reports of one process.
type Broadcaster struct {
	peers     *peers.Membership
	messenger bulrushlug.Messenger
	boot      uint64 // Start of this process, Unix milliseconds.
	sequence  atomic.Uint64
	options   func() []bulrushlug.ReportOption
	leaving   atomic.Bool
}

// New returns a broadcaster to the processes in p over m; f returns the contents of each report.
func New(p *peers.Membership, m bulrushlug.Messenger, boot uint64, f func() []bulrushlug.ReportOption) *Broadcaster {
	return &Broadcaster{peers: p, messenger: m, boot: boot, options: f}
}

// Run broadcasts reports until c ends.
func (g *Broadcaster) Run(c context.Context) error {
	for c.Err() == nil {
		n := g.Broadcast()
		_ = bulrushlug.Sleep(c, peers.ReportInterval(n))
	}
	return nil
}

// Leave marks all further reports as those of a leaving process, and broadcasts one at once.
func (g *Broadcaster) Leave() {
	g.leaving.Store(true)
	g.Broadcast()
}

// Broadcast sends a report to all other processes at once and returns their number.
func (g *Broadcaster) Broadcast() int {
	l := g.peers.All()
	g.send(l, unreachable(l))
	return len(l)
}

// SendTo sends a report at once to the processes on the given VMs, and to data VMs that are not heard, as they may run
// batch items that this process does not know of.
func (g *Broadcaster) SendTo(vms []string) {
	var l []peers.Peer
	for _, v := range vms {
		if p, ok := g.peers.ByVM(v); ok {
			l = append(l, p)
		}
	}
	f := unreachable(g.peers.All())
	if len(l)+len(f) > 0 {
		g.send(l, f)
	}
}

// unreachable returns the addresses of the registered processes of l that have a disk and are not heard.
func unreachable(l []peers.Peer) (a []string) {
	for _, p := range l {
		if p.Registered() && p.DiskID() != "" && !p.Alive() {
			a = append(a, p.Member().Address())
		}
	}
	return a
}

// send sends a report to the processes in l. An entry also has a live entry forward it to the addresses in f; it
// chooses a different one each time, because the chosen one may be behind the same partition.
func (g *Broadcaster) send(l []peers.Peer, f []string) {
	r := g.report()
	var a []string
	for _, p := range l {
		a = append(a, p.Member().Address())
	}
	g.messenger.SendAll(a, bulrushlug.NewMessage(bulrushlug.MessageReport(r)))
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
	g.messenger.Send(p.Member().Address(), bulrushlug.NewMessage(bulrushlug.MessageReport(r.With(bulrushlug.ReportForwardTo(f)))))
}

// Relay forwards the report r to the addresses that its sender can't reach.
func (g *Broadcaster) Relay(r bulrushlug.Report) {
	m := bulrushlug.MessageReport(r.With(bulrushlug.ReportForwardTo(nil), bulrushlug.ReportRelayed(true)))
	g.messenger.SendAll(r.ForwardTo(), bulrushlug.NewMessage(m))
}

func (g *Broadcaster) report() bulrushlug.Report {
	s := g.peers.Self().WithLeaving(g.leaving.Load())
	return bulrushlug.NewReport(s, g.boot, g.sequence.Add(1), g.options()...)
}
