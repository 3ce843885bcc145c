// Package ctrl assembles the control plane of a process: configuration, members and rate limits.
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

// Control is the control plane of a process; it is independent of HTTP and drpc.
type Control struct {
	self         bulrushlug.Member
	state        *state.State
	tracker      *fresh.Tracker
	roster       *roster.Roster
	disseminator *spread.Disseminator
	configLog    *cfglog.Log
	poller       *follow.Poller
	home         *home.Server     // Nil on agents.
	quota        *quota.Client    // Nil on agents.
	maintainer   *ring.Maintainer // Nil on agents.
}

// peers calls other processes.
type peers interface {
	bulrushlug.Puller
	bulrushlug.Prober
}

// New returns the control plane of the process m; sub returns the counters of the component called name.
func New(m bulrushlug.Member, k bulrushlug.Store, l bulrushlug.VMList, x bulrushlug.Messenger, p peers,
	e bulrushlug.Recorder, sub func(name string) *expvar.Map) *Control {
	c := &Control{self: m, tracker: fresh.New(m.Zone()), roster: roster.New(l)}
	c.state = state.New(c.tracker)
	c.disseminator = spread.New(m, x, c.state, c.tracker, p)
	c.configLog = cfglog.New(k, c.state, c.tracker, c.disseminator, e)
	c.poller = follow.New(c.configLog, c.disseminator)
	c.roster.OnUpdate(c.disseminator.SetMembers)
	if m.Role() == bulrushlug.RoleEntry {
		c.home = home.New(m.Name(), c.state, c.roster, x, sub("home"))
		c.quota = quota.New(c.home, x, sub("quota"))
		c.maintainer = ring.New(m, c.state, c.roster, p, c.configLog, func() bool { return c.disseminator.ShouldPollStore() && !c.poller.Failing() })
		c.state.OnChange(func(f *bulrushlug.Config) { c.home.ConfigChanged(f, c.tracker.CurrentUntil()) })
	}
	return c
}

// State returns the state that holds the configuration.
func (c *Control) State() *state.State { return c.state }

// Roster returns the list of VMs.
func (c *Control) Roster() *roster.Roster { return c.roster }

// ConfigLog returns the log of configuration changes.
func (c *Control) ConfigLog() *cfglog.Log { return c.configLog }

// Quota returns the rate limiter of organisations, or nil on agents.
func (c *Control) Quota() bulrushlug.Limiter { return c.quota }

// HomeLocator returns the locator of the homes of organisations, or nil on agents.
func (c *Control) HomeLocator() bulrushlug.HomeLocator { return c.home }

// Receive handles a message from another process.
func (c *Control) Receive(m bulrushlug.Message) {
	c.disseminator.Receive(m)
	if c.home != nil {
		c.home.Receive(m)
		c.quota.Receive(m)
	}
}

// Run runs all components until x ends.
func (c *Control) Run(x context.Context) error {
	_ = c.roster.Poll(x)
	var g sync.WaitGroup
	l := []func(context.Context) error{c.roster.Run, c.poller.Run, c.disseminator.Run}
	if c.maintainer != nil {
		l = append(l, c.maintainer.Run)
	}
	for _, f := range l {
		g.Go(func() { _ = f(x) })
	}
	g.Wait()
	return nil
}

// LeaveRing proposes a ring without this process, or fails with KindConflict if it is the only member.
func (c *Control) LeaveRing(x context.Context) error {
	r := c.state.Config().Ring()
	if len(r.Members()) < 2 {
		return bulrushlug.Errorf(bulrushlug.KindConflict, "no other entry is in the ring")
	}
	return c.maintainer.Propose(x, r, r.Members(), func(n string) bool { return n == c.self.Name() })
}
