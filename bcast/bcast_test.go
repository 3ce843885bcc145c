package bcast

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// recorder records the addresses that reports are sent to; "a>[b]" stands for a report that a is to forward to b.
type recorder struct{ to []string }

func (s *recorder) Send(a string, m bulrushlug.Message) {
	if f := m.Report().ForwardTo(); len(f) > 0 {
		a = fmt.Sprint(a, ">", f)
	}
	if m.Report().Relayed() {
		a += " relayed"
	}
	s.to = append(s.to, a)
}

func (s *recorder) SendAll(l []string, m bulrushlug.Message) {
	for _, a := range l {
		s.Send(a, m)
	}
}

// TestForward checks which reports are forwarded, by which process and to which addresses.
func TestForward(t *testing.T) {
	for name, x := range map[string]struct {
		self  string
		heard []string
		do    func(g *Broadcaster)
		want  []string
	}{
		"all are heard":                             {self: "e1", heard: []string{"e2", "e3", "d1"}, want: []string{"d1", "e2", "e3"}},
		"a disk is not heard":                       {self: "e1", heard: []string{"e2", "e3"}, want: []string{"d1", "e2", "e2>[d1]", "e3"}},
		"nobody is heard":                           {self: "e1", want: []string{"d1", "e2", "e3"}},
		"an entry is not heard":                     {self: "e1", heard: []string{"e2", "d1"}, want: []string{"d1", "e2", "e3"}},
		"the other entry behind the same partition": {self: "e1", heard: []string{"e3"}, want: []string{"d1", "e2", "e3", "e3>[d1]"}},
		"a data VM asks for no forwarding":          {self: "d1", heard: []string{"e2"}, want: []string{"e1", "e2", "e3"}},
		"to no VM": {self: "e1", heard: []string{"e2", "e3"}, do: func(g *Broadcaster) { g.SendTo(nil) },
			want: []string{"e2>[d1]"}},
		"to one VM": {self: "e1", heard: []string{"e2", "e3", "d1"}, do: func(g *Broadcaster) { g.SendTo([]string{"d1"}) }, want: []string{"d1"}},
		"relay": {self: "e1", heard: []string{"e2", "e3", "d1"}, want: []string{"d1 relayed"}, do: func(g *Broadcaster) {
			g.Relay(bulrushlug.NewReport(bulrushlug.NewMember("e2", "e2", "r", "z", bulrushlug.RoleEntry), 1, 9, bulrushlug.ReportForwardTo([]string{"d1"})))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				k := memtxn.New()
				all := map[string]*peers.Membership{}
				for _, vm := range []string{"e1", "e2", "e3", "d1"} {
					role, disk := bulrushlug.RoleEntry, ""
					if vm == "d1" {
						role, disk = "data", "disk"
					}
					p := peers.New(bulrushlug.NewMember(vm, vm, "r", "z", role), 1, disk, k, "vm/", 3*time.Second, log.NewNopLogger())
					all[vm] = p
					go func() { _ = p.Run(c) }()
				}
				time.Sleep(15 * time.Second)
				p := all[x.self]
				for _, vm := range x.heard {
					y := all[vm]
					p.ApplyReport(bulrushlug.NewReport(y.Self(), 1, 1, bulrushlug.ReportState(y.DiskID(), 1)))
				}
				s := &recorder{}
				g := New(p, s, 1, func() []bulrushlug.ReportOption { return nil })
				g.sequence.Store(1)
				if x.do == nil {
					x.do = func(g *Broadcaster) { g.Broadcast() }
				}
				x.do(g)
				slices.Sort(s.to)
				if !slices.Equal(s.to, x.want) {
					t.Errorf("sent %q, want %q", s.to, x.want)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
