// Package ctrl puts together what a process needs to agree with the others: configuration, members and rates.
package ctrl

import (
	"context"
	"expvar"
	"sync"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cfglog"
	"bulrushlug.dev/bulrushlug/follow"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/home"
	"bulrushlug.dev/bulrushlug/quota"
	"bulrushlug.dev/bulrushlug/ring"
	"bulrushlug.dev/bulrushlug/roster"
	"bulrushlug.dev/bulrushlug/spread"
	"bulrushlug.dev/bulrushlug/state"
)

// Control is the part of a process that agrees with the others; it knows no HTTP and no drpc.
type Control struct {
	self   bulrushlug.Member
	state  *state.State
	rule   *fresh.Tracker
	roster *roster.Roster
	spread *spread.Disseminator
	ledger *cfglog.Log
	follow *follow.Poller
	home   *home.Server     // Nil on agents.
	quota  *quota.Client    // Nil on agents.
	rings  *ring.Maintainer // Nil on agents.
}

// peers calls other processes.
type peers interface {
	bulrushlug.Puller
	bulrushlug.Prober
}

// New returns the control part of the process m; sub gives the counters of each part.
func New(m bulrushlug.Member, k bulrushlug.Store, l bulrushlug.VMList, x bulrushlug.Messenger, p peers,
	e bulrushlug.Recorder, sub func(name string) *expvar.Map) *Control {
	c := &Control{self: m, rule: fresh.New(m.Zone()), roster: roster.New(l)}
	c.state = state.New(c.rule)
	c.spread = spread.New(m, x, c.state, c.rule, p)
	c.ledger = cfglog.New(k, c.state, c.rule, c.spread, e)
	c.follow = follow.New(c.ledger, c.spread)
	c.roster.OnUpdate(c.spread.SetMembers)
	if m.Role() == bulrushlug.RoleEntry {
		c.home = home.New(m.Name(), c.state, c.roster, x, sub("home"))
		c.quota = quota.New(c.home, x, sub("quota"))
		c.rings = ring.New(m, c.state, c.roster, p, c.ledger, func() bool { return c.spread.ShouldPollStore() && !c.follow.Failing() })
		c.state.OnChange(func(f *bulrushlug.Config) { c.home.ConfigChanged(f, c.rule.CurrentUntil()) })
	}
	return c
}

// State returns the configuration.
func (c *Control) State() *state.State { return c.state }

// Roster returns the members.
func (c *Control) Roster() *roster.Roster { return c.roster }

// Ledger returns the writer of changes.
func (c *Control) Ledger() *cfglog.Log { return c.ledger }

// Limiter returns what counts the admissions of organisations, or nil on agents.
func (c *Control) Limiter() bulrushlug.Limiter { return c.quota }

// Owners returns what knows the homes of organisations, or nil on agents.
func (c *Control) Owners() bulrushlug.HomeLocator { return c.home }

// Receive handles a message of another process.
func (c *Control) Receive(m bulrushlug.Message) {
	c.spread.Receive(m)
	if c.home != nil {
		c.home.Receive(m)
		c.quota.Receive(m)
	}
}

// Run follows the others until x ends.
func (c *Control) Run(x context.Context) error {
	_ = c.roster.Poll(x)
	var g sync.WaitGroup
	parts := []func(context.Context) error{c.roster.Run, c.follow.Run, c.spread.Run}
	if c.rings != nil {
		parts = append(parts, c.rings.Run)
	}
	for _, f := range parts {
		g.Go(func() { _ = f(x) })
	}
	g.Wait()
	return nil
}

// LeaveRing proposes a ring without this process, unless it is the only member.
func (c *Control) LeaveRing(x context.Context) error {
	r := c.state.Config().Ring()
	if len(r.Members()) < 2 {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "no other entry is in the ring")
	}
	return c.rings.Propose(x, r, r.Members(), func(n string) bool { return n == c.self.Name() })
}
