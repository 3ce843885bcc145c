package node

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/admit"
	"bulrushlug.dev/bulrushlug/beat"
	"bulrushlug.dev/bulrushlug/check"
	"bulrushlug.dev/bulrushlug/engine"
	"bulrushlug.dev/bulrushlug/loader"
	"bulrushlug.dev/bulrushlug/local"
	"bulrushlug.dev/bulrushlug/park"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/plain"
	"bulrushlug.dev/bulrushlug/resume"
	"bulrushlug.dev/bulrushlug/tally"
)

const (
	slotsPollInterval = 2 * time.Second // Time between two polls of the engine's slots.
	defaultSlots      = 32              // Slots until the engine reports its own, or without an engine.
)

// agent is the role of the process that runs on the VM of a backend server.
type agent struct {
	*Node
	engine bulrushlug.Engine // Nil if there are only plain services.
	local  *local.Stage
	admit  *admit.Filter
	loader *loader.Loader // Nil without an engine.
	sender *beat.Sender
}

func newAgent(n *Node) *agent {
	a := &agent{Node: n}
	if u := n.settings.Engine(); u != "" {
		a.engine = engine.New(u)
		a.loader = loader.New(n.self, n.control.State(), a.engine, n.events)
		n.control.State().OnChange(a.loader.ConfigChanged)
	}
	m := map[string]bulrushlug.Stage{}
	for k, u := range n.settings.Services() {
		m[k] = plain.New(u)
	}
	a.local = local.New(a.engine, m)
	s := n.settings.Slots()
	if s == 0 {
		s = defaultSlots
	}
	a.admit = admit.New(s, n.counters("admit"))
	a.sender = beat.New(n.self, a, n.control.Roster(), n.transport)
	return a
}

// Counts returns the slots, the running online requests and batch items, and the queued online requests.
func (a *agent) Counts() (slots, online, batch, queued int) { return a.admit.Counts() }

// Models returns the models that are loaded, or nil without an engine.
func (a *agent) Models() []string {
	if a.loader == nil {
		return nil
	}
	return a.loader.Models()
}

// Services returns the names of the plain HTTP services on the agent's VM.
func (a *agent) Services() []string { return a.local.Services() }

func (a *agent) stage() bulrushlug.Stage {
	return pipe.New(a.local,
		tally.New(a.counters("requests"), a.events),
		check.New(a.self, a.control.State()),
		park.New(a.counters("park")),
		a.admit,
		resume.New(a.counters("resume")))
}

func (a *agent) start(c context.Context, g *group) error {
	if a.loader != nil {
		g.run(c, a.loader.Run)
	}
	if a.engine != nil && a.settings.Slots() == 0 {
		g.run(c, a.pollSlots)
	}
	g.run(c, a.sender.Run)
	return nil
}

// pollSlots keeps the number of slots at that of the engine.
func (a *agent) pollSlots(c context.Context) error {
	for {
		if n, err := a.engine.Slots(c); err == nil && n > 0 {
			a.admit.SetSlots(int(n))
		}
		if err := bulrushlug.Sleep(c, slotsPollInterval); err != nil {
			return nil
		}
	}
}

// drain tells the entries that the agent is leaving, refuses new requests and waits until running ones end.
func (a *agent) drain(c context.Context) {
	a.sender.AnnounceLeave()
	idle := a.admit.Drain()
	select {
	case <-idle:
	case <-c.Done():
	}
	_ = bulrushlug.Sleep(c, flushDelay)
}

// flushDelay is the time for the last data of responses to be sent.
const flushDelay = 200 * time.Millisecond
