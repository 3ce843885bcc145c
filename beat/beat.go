// Package beat sends the load reports of an agent.
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
	interval = time.Second // Time between two reports to the same process.
	jitter   = 100 * time.Millisecond
	fixed    = 3 // Processes that get every report.
	turning  = 1 // Further processes that get one report each, by turns.
	few      = 8 // Processes up to which all get every report.
)

// bootDigits is the number of hex digits that tell one start of a process from another.
const bootDigits = 8

// Sender sends reports to a bounded number of the processes that place work.
type Sender struct {
	self     bulrushlug.Member
	boot     string // Changes with each start of the process.
	reporter bulrushlug.Reporter
	roster   bulrushlug.Roster
	mesh     bulrushlug.Messenger
	sequence atomic.Uint64
	leaving  atomic.Bool
	turn     atomic.Uint64
}

// New returns the beat of the agent m.
func New(m bulrushlug.Member, p bulrushlug.Reporter, r bulrushlug.Roster, x bulrushlug.Messenger) *Sender {
	return &Sender{self: m, boot: uuid.NewString()[:bootDigits], reporter: p, roster: r, mesh: x}
}

// Run sends reports until c ends.
func (b *Sender) Run(c context.Context) error {
	for {
		b.send(b.some())
		if err := bulrushlug.Sleep(c, interval+rand.N(jitter)); err != nil {
			return nil
		}
	}
}

// Leave tells all processes at once that the agent takes no new work.
func (b *Sender) Leave() {
	b.leaving.Store(true)
	b.send(b.placers())
}

// placers returns the processes that place work.
func (b *Sender) placers() []bulrushlug.Member {
	var l []bulrushlug.Member
	for _, m := range b.roster.Members() {
		if m.Role() == bulrushlug.RoleEntry || m.Data() {
			l = append(l, m)
		}
	}
	return l
}

// some returns the processes for the next report: the first by rank, and a few others by turns.
func (b *Sender) some() []bulrushlug.Member {
	l := b.placers()
	if len(l) <= few {
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
	for _, x := range n[:fixed] {
		o = append(o, m[x])
	}
	for range turning {
		i := int(b.turn.Add(1)) % (len(n) - fixed)
		o = append(o, m[n[fixed+i]])
	}
	return o
}

func (b *Sender) send(l []bulrushlug.Member) {
	s, o, t, q := b.reporter.Counts()
	r := bulrushlug.NewLoad(b.self.Name(), b.sequence.Add(1),
		bulrushlug.LoadAt(b.self.Address(), b.self.Region(), b.self.Zone(), b.boot),
		bulrushlug.LoadCounts(uint32(s), uint32(o), uint32(t), uint32(q)),
		bulrushlug.LoadServes(b.reporter.Models(), b.reporter.Services()),
		bulrushlug.LoadLeaving(b.leaving.Load()))
	for _, m := range l {
		b.mesh.Send(m.Address(), bulrushlug.NewMessage(bulrushlug.MessageLoads(r)))
	}
}
