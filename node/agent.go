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
	slotsPause   = 2 * time.Second // Time between two questions for the engine's slots.
	defaultSlots = 32              // Slots of an agent without an engine.
)

// agent is the role beside a backend server.
type agent struct {
	*Node
	engine bulrushlug.Engine // Nil beside plain services only.
	local  *local.Stage
	admit  *admit.Filter
	loader *loader.Loader // Nil without an engine.
	beat   *beat.Sender
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
	a.admit = admit.New(s, n.sub("admit"))
	a.beat = beat.New(n.self, a, n.control.Roster(), n.mesh)
	return a
}

// Counts returns the slots, the online requests and batch items that run, and the online requests that wait.
func (a *agent) Counts() (slots, online, batch, queued int) { return a.admit.Counts() }

// Models returns the models that are loaded.
func (a *agent) Models() []string {
	if a.loader == nil {
		return nil
	}
	return a.loader.Models()
}

// Services returns the plain services beside the agent.
func (a *agent) Services() []string { return a.local.Services() }

func (a *agent) stage() bulrushlug.Stage {
	return pipe.New(a.local,
		tally.New(a.sub("requests"), a.events),
		check.New(a.self, a.control.State()),
		park.New(a.sub("park")),
		a.admit,
		resume.New(a.sub("resume")))
}

func (a *agent) start(c context.Context, g *group) error {
	if a.loader != nil {
		g.run(c, a.loader.Run)
	}
	if a.engine != nil && a.settings.Slots() == 0 {
		g.run(c, a.followSlots)
	}
	g.run(c, a.beat.Run)
	return nil
}

// followSlots asks the engine how many slots it has.
func (a *agent) followSlots(c context.Context) error {
	for {
		if n, err := a.engine.Slots(c); err == nil && n > 0 {
			a.admit.SetSlots(int(n))
		}
		if err := bulrushlug.Sleep(c, slotsPause); err != nil {
			return nil
		}
	}
}

// drain tells the entries, refuses new work and lets what runs end.
func (a *agent) drain(c context.Context) {
	a.beat.Leave()
	idle := a.admit.Drain()
	select {
	case <-idle:
	case <-c.Done():
	}
	_ = bulrushlug.Sleep(c, flushTime)
}

// flushTime is the time for the last pieces of answers to leave.
const flushTime = 200 * time.Millisecond
