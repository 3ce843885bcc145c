// Package beat sends the heartbeats of an agent, which carry its load reports.
package beat

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	interval        = time.Second            // Time between two rounds of reports.
	jitter          = 100 * time.Millisecond // Upper bound of the random time added to interval.
	fixedTargets    = 3                      // Processes that get every report.
	rotatingTargets = 1                      // Further processes that get a report in each round, by rotation.
	maxBroadcast    = 8                      // Number of processes up to which all get every report.
)

// bootDigits is the length of a boot identifier in hex digits.
const bootDigits = 8

// Sender sends load reports to a bounded number of the processes that place requests.
type Sender struct {
	self      bulrushlug.Member
	boot      string // Random identifier of this start of the process.
	reporter  bulrushlug.Reporter
	roster    bulrushlug.Roster
	messenger bulrushlug.Messenger
	sequence  atomic.Uint64
	leaving   atomic.Bool
	rotation  atomic.Uint64
}

// New returns the sender of the agent m, whose load p reports.
func New(m bulrushlug.Member, p bulrushlug.Reporter, r bulrushlug.Roster, x bulrushlug.Messenger) *Sender {
	return &Sender{self: m, boot: uuid.NewString()[:bootDigits], reporter: p, roster: r, messenger: x}
}

// Run sends reports until c ends.
func (b *Sender) Run(c context.Context) error {
	for {
		b.send(b.nextTargets())
		if err := bulrushlug.Sleep(c, interval+rand.N(jitter)); err != nil {
			return nil
		}
	}
}

// AnnounceLeave tells all processes that place requests that the agent is leaving and accepts no new requests.
func (b *Sender) AnnounceLeave() {
	b.leaving.Store(true)
	b.send(b.targets())
}

// targets returns the processes that place requests: entries, and processes with a data folder, which run batch jobs.
func (b *Sender) targets() []bulrushlug.Member {
	var l []bulrushlug.Member
	for _, m := range b.roster.Members() {
		if m.Role() == bulrushlug.RoleEntry || m.HasDataFolder() {
			l = append(l, m)
		}
	}
	return l
}

// nextTargets returns the processes for the next report: the first fixedTargets by rendezvous hashing, and the
// others by rotation.
func (b *Sender) nextTargets() []bulrushlug.Member {
	l := b.targets()
	if len(l) <= maxBroadcast {
		return l
	}
	m := map[string]bulrushlug.Member{}
	var n []string
	for _, x := range l {
		m[x.Name()] = x
		n = append(n, x.Name())
	}
	n = rank.Order(b.self.Name(), n)
	var o []bulrushlug.Member
	for _, x := range n[:fixedTargets] {
		o = append(o, m[x])
	}
	for range rotatingTargets {
		i := int(b.rotation.Add(1)) % (len(n) - fixedTargets)
		o = append(o, m[n[fixedTargets+i]])
	}
	return o
}

func (b *Sender) send(l []bulrushlug.Member) {
	s, o, t, q := b.reporter.Counts()
	r := bulrushlug.NewLoadReport(b.self.Name(), b.sequence.Add(1),
		bulrushlug.LoadReportAt(b.self.Address(), b.self.Region(), b.self.Zone(), b.boot),
		bulrushlug.LoadReportCounts(uint32(s), uint32(o), uint32(t), uint32(q)),
		bulrushlug.LoadReportServes(b.reporter.Models(), b.reporter.Services()),
		bulrushlug.LoadReportLeaving(b.leaving.Load()))
	for _, m := range l {
		b.messenger.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageLoadReports(r)))
	}
}
