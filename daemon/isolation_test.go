package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/setup"
)

// newLoneEntry returns an entry that is not run, and whose key-value service is not there.
func newLoneEntry(t *testing.T, l log.Logger) *Daemon {
	t.Helper()
	c, err := setup.Parse("test", fmt.Appendf(nil, `{"vm":"e0","region":"r","zone":"z","role":"entry","listen":%q,"http":%q,"ready":%q,"store":"127.0.0.1:1","toleratedDisks":1}`, freeAddress(), freeAddress(), freeAddress()))
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(c, l)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestIsolation guards against a process that counts cold servers as warm behind a partition, and against one that counts
// all servers as cold because the key-value service is down.
func TestIsolation(t *testing.T) {
	for name, x := range map[string]struct {
		heard, all int
		lost       bool // This process can't reach the service.
		othersLost bool
		want       bool
	}{
		"all are heard":                       {heard: 4, all: 4},
		"the service is down for all":         {heard: 4, all: 4, lost: true, othersLost: true},
		"one is gone as well":                 {heard: 3, all: 4, lost: true, othersLost: true},
		"cut off from the service alone":      {heard: 4, all: 4, lost: true},
		"half are heard":                      {heard: 2, all: 4},
		"half are heard, without the service": {heard: 2, all: 4, lost: true, othersLost: true, want: true},
		"half are heard, one with it":         {heard: 2, all: 4, lost: true},
		"few are heard":                       {heard: 1, all: 4, want: true},
		"it is the only one":                  {heard: 1, all: 1, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newLoneEntry(t, log.NewNopLogger())
			if x.lost {
				go func() { _ = d.operatorMirror.Run(t.Context()) }()
				for d.operatorMirror.OutageDuration() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			m := bulrushlug.NewMember("e1", "127.0.0.1:9", "r", "z", bulrushlug.RoleEntry)
			if x.heard > 1 {
				d.membership.ApplyReport(bulrushlug.NewReport(m, 1, 1, bulrushlug.ReportStoreLost(x.othersLost)))
			}
			if got := d.isolated(x.heard, x.all); got != x.want {
				t.Errorf("isolated %v", got)
			}
		})
	}
}

// TestIsolationAfterStall guards against a process that was stopped and judges by reports that are missing, or old, because of
// that.
func TestIsolationAfterStall(t *testing.T) {
	const silence = 600 * time.Millisecond // Real time after which the others are no longer heard.
	for name, x := range map[string]struct {
		heard  bool            // The others are heard until the last check.
		checks []time.Duration // Moments of the checks from the first one; the others are heard at that one.
		want   bool
	}{
		"they fall silent":               {checks: []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}, want: true},
		"stopped, nothing came yet":      {checks: []time.Duration{5 * time.Second, 5200 * time.Millisecond}},
		"stopped, and they stay silent":  {checks: []time.Duration{5 * time.Second, 5500 * time.Millisecond, 6100 * time.Millisecond}, want: true},
		"stopped, and they are there":    {heard: true, checks: []time.Duration{5 * time.Second, 5500 * time.Millisecond, 6100 * time.Millisecond}},
		"stopped again before the check": {checks: []time.Duration{5 * time.Second, 5800 * time.Millisecond, 7 * time.Second, 7500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newLoneEntry(t, log.NewNopLogger())
			sequence := uint64(0)
			report := func() {
				sequence++
				for _, vm := range []string{"e1", "e2"} {
					d.membership.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember(vm, "127.0.0.1:9", "r", "z", bulrushlug.RoleEntry), 1, sequence))
				}
			}
			d.gate.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 7.6, time.Second)})
			var w isolationWatch
			begin := time.Now()
			report()
			w.check(d, begin)
			time.Sleep(silence)
			for _, m := range x.checks {
				if x.heard {
					report()
				}
				w.check(d, begin.Add(m))
			}
			if w.isolated != x.want {
				t.Errorf("isolated %v", w.isolated)
			}
		})
	}
}
