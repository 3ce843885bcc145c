package home

import (
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// source is a configuration source whose revisions are all accepted.
type source struct{ config *bulrushlug.Config }

func (s *source) Config() *bulrushlug.Config { return s.config }
func (s *source) Fresh() bool                { return true }
func (s *source) Accepted() uint64           { return s.config.Revision() }

// members is a list of VMs of which none is gone.
type members []bulrushlug.Member

func (l members) Members() []bulrushlug.Member { return l }
func (l members) Gone(string) bool             { return false }
func (l members) Member(n string) (bulrushlug.Member, bool) {
	for _, m := range l {
		if m.Name() == n {
			return m, true
		}
	}
	return bulrushlug.Member{}, false
}

// discard is a messenger that loses all messages.
type discard struct{}

func (discard) Send(string, bulrushlug.Message)      {}
func (discard) SendAll([]string, bulrushlug.Message) {}

// fleet is one process with its configuration.
type fleet struct {
	*Server
	source *source
}

func newFleet(rate float64, burst uint32) *fleet {
	s := &source{bulrushlug.NewConfig()}
	f := &fleet{New("a", s, members{bulrushlug.NewMember("a", "a", "r", "z", bulrushlug.RoleEntry)}, discard{}, new(expvar.Map).Init()), s}
	f.source.config = bulrushlug.RestoreConfig(1, []bulrushlug.Change{bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("o", rate, burst))})
	return f
}

// publish has the process learn of the next revision; t is the newest time at which it knew its revision to be current.
func (f *fleet) publish(x *bulrushlug.Config, t time.Time) {
	f.source.config = x
	f.ConfigChanged(x, t)
}

// ring has the process learn of the ring of epoch e whose only member it is.
func (f *fleet) ring(t *testing.T, e uint64, knownUntil time.Time) {
	t.Helper()
	x, err := f.source.config.Apply(bulrushlug.NewChange("r", "t", bulrushlug.NewRing(e, []string{"a"})).WithRevision(f.source.config.Revision() + 1))
	if err != nil {
		t.Fatal(err)
	}
	f.publish(x, knownUntil)
}

// TestFirstGrant checks what a home grants of an organisation that used nothing before.
func TestFirstGrant(t *testing.T) {
	for name, x := range map[string]struct {
		rate  float64
		burst uint32
		start func(t *testing.T, f *fleet)
		count uint32 // Tokens requested.
		home  bool   // The process answers as home.
		want  uint32 // Tokens granted.
	}{
		"right after the first ring": {rate: 100, burst: 100, count: 1, home: true, want: 1, start: func(t *testing.T, f *fleet) {
			f.publish(f.source.config, time.Time{})
			time.Sleep(time.Second)
			f.ring(t, 1, time.Now())
		}},
		"a burst right after the first ring": {rate: 2, burst: 100, count: 120, home: true, want: 100, start: func(t *testing.T, f *fleet) {
			f.publish(f.source.config, time.Time{})
			time.Sleep(time.Second)
			f.ring(t, 1, time.Now())
		}},
		"a restart with the first ring": {rate: 100, burst: 100, count: 1, start: func(t *testing.T, f *fleet) { f.ring(t, 1, time.Time{}) }},
		"a restart that read an old revision first": {rate: 100, burst: 100, count: 1, start: func(t *testing.T, f *fleet) {
			past := time.Now().Add(-time.Millisecond)
			f.publish(f.source.config, past)
			f.ring(t, 1, past)
		}},
		"the first token after a restart": {rate: 100, burst: 100, count: 1, home: true, want: 1, start: func(t *testing.T, f *fleet) {
			f.ring(t, 1, time.Time{})
			f.Owner("o")
			time.Sleep(10 * time.Millisecond)
		}},
		"a low rate after a restart": {rate: 0.1, burst: 1, count: 1, home: true, start: func(t *testing.T, f *fleet) {
			f.ring(t, 1, time.Time{})
			f.Owner("o")
			time.Sleep(firstTokenTimeout)
		}},
		"a later ring": {rate: 100, burst: 100, count: 1, start: func(t *testing.T, f *fleet) {
			f.ring(t, 2, time.Time{})
			f.Owner("o")
			time.Sleep(takeoverDelay - time.Millisecond)
		}},
		"a later ring once no other home can grant": {rate: 100, burst: 100, count: 1, start: func(t *testing.T, f *fleet) {
			f.ring(t, 2, time.Time{})
			f.Owner("o")
			time.Sleep(takeoverDelay)
		}},
		"the first token under a later ring": {rate: 100, burst: 100, count: 1, home: true, want: 1, start: func(t *testing.T, f *fleet) {
			f.ring(t, 2, time.Time{})
			f.Owner("o")
			time.Sleep(takeoverDelay + 10*time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(x.rate, x.burst)
				x.start(t, f)
				g := f.Grant(bulrushlug.NewAdmissionRequest("o", x.count, 1))
				if g.Home() != x.home || g.Count() != x.want {
					t.Errorf("home %v, %d granted", g.Home(), g.Count())
				}
			})
		})
	}
}
