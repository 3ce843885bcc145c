package peers

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
)

const leaseTime = 3 * time.Second

func newMembership(n int, m *memtxn.Store) *Membership {
	v := fmt.Sprint("e", n)
	return New(bulrushlug.NewMember(v, v+":1", "r", "z", bulrushlug.RoleEntry), uint64(n), "", m, "vm/", leaseTime, log.NewNopLogger())
}

func report(vm string, boot, n uint64, o ...bulrushlug.ReportOption) bulrushlug.Report {
	return bulrushlug.NewReport(bulrushlug.NewMember(vm, vm+":1", "r", "z", bulrushlug.RoleEntry), boot, n, o...)
}

func TestApplyReport(t *testing.T) {
	for name, x := range map[string]struct {
		reports []bulrushlug.Report
		want    bool // The last report is accepted.
	}{
		"the first":             {reports: []bulrushlug.Report{report("a", 1, 1)}, want: true},
		"the next":              {reports: []bulrushlug.Report{report("a", 1, 1), report("a", 1, 2)}, want: true},
		"a duplicate":           {reports: []bulrushlug.Report{report("a", 1, 2), report("a", 1, 2)}},
		"out of order":          {reports: []bulrushlug.Report{report("a", 1, 2), report("a", 1, 1)}},
		"after a restart":       {reports: []bulrushlug.Report{report("a", 1, 9), report("a", 2, 1)}, want: true},
		"from before a restart": {reports: []bulrushlug.Report{report("a", 2, 1), report("a", 1, 9)}},
		"its own report":        {reports: []bulrushlug.Report{report("e0", 1, 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newMembership(0, memtxn.New())
			got := false
			for _, r := range x.reports {
				got = p.ApplyReport(r)
			}
			if got != x.want {
				t.Errorf("last report accepted: %v", got)
			}
		})
	}
}

// TestRestartAfterClockStep restarts a process whose clock was set back, so that its start counts as the earlier one: the
// others hear it again once its former start is silent.
func TestRestartAfterClockStep(t *testing.T) {
	for name, x := range map[string]struct {
		boot   uint64        // Start of the restarted process; the former one is at 1000.
		down   time.Duration // Time from the last report of the former start to the first one.
		record uint64        // Start in the entry that is read after each report; zero for none.
		silent time.Duration // Longest time for which the process may be silent, from its restart on.
	}{
		"the clock is right":                           {boot: 2000, down: 500 * time.Millisecond, silent: minInterval},
		"set back":                                     {boot: 500, down: 2 * time.Second, silent: minInterval},
		"set back, and restarted at once":              {boot: 500, down: 300 * time.Millisecond, silent: aliveTimeout + minInterval},
		"set back, with its entry":                     {boot: 500, down: 2 * time.Second, record: 500, silent: minInterval},
		"set back, with the entry of the former start": {boot: 500, down: 2 * time.Second, record: 1000, silent: minInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				p := newMembership(0, m)
				for n := range uint64(20) {
					p.ApplyReport(report("a", 1000, n+1))
					time.Sleep(minInterval)
				}
				time.Sleep(x.down - minInterval)
				if x.record != 0 {
					q := New(bulrushlug.NewMember("a", "a:1", "r", "z", bulrushlug.RoleEntry), x.record, "", m, "vm/", time.Hour, log.NewNopLogger())
					if _, err := q.register(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				begun := time.Now()
				heard := begun
				for n := range uint64(50) {
					if p.ApplyReport(report("a", x.boot, n+1)) {
						heard = time.Now()
					}
					if x.record != 0 {
						if err := p.list(t.Context()); err != nil {
							t.Fatal(err)
						}
					}
					time.Sleep(minInterval)
					if d := time.Since(heard); d > x.silent {
						t.Fatalf("%v after its restart nothing was heard for %v", time.Since(begun), d)
					}
				}
				if y, ok := p.ByVM("a"); !ok || !y.Alive() {
					t.Error("the process counts as failed")
				}
			})
		})
	}
}

// failing is a key-value service whose first commits fail.
type failing struct {
	*memtxn.Store
	left int
}

func (f *failing) Commit(c context.Context, on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	if f.left--; f.left >= 0 {
		return 0, bulrushlug.Errorf(bulrushlug.KindStoreDown, "the commit failed")
	}
	return f.Store.Commit(c, on, w)
}

// TestRegister has commits of the process's entry fail after its lease was granted.
func TestRegister(t *testing.T) {
	for name, failures := range map[string]int{"no failure": 0, "one failure": 1, "three failures": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				m := &failing{memtxn.New(), failures}
				p := New(bulrushlug.NewMember("e", "e:1", "r", "z", bulrushlug.RoleEntry), 1, "", m, "vm/", leaseTime, log.NewNopLogger())
				go func() { _ = p.Run(c) }()
				time.Sleep(10 * time.Second)
				if l, _, err := m.List(c, "vm/"); err != nil || len(l) != 1 || p.StoreLost() {
					t.Errorf("%d entries, %v, store lost %v", len(l), err, p.StoreLost())
				}
			})
		})
	}
}

// TestAlive checks that one lost report is no failure, whatever the number of processes and so the interval of reports.
func TestAlive(t *testing.T) {
	for name, x := range map[string]struct {
		others int
		silent time.Duration
		want   bool
	}{
		"a few, silent for a while":     {others: 3, silent: 700 * time.Millisecond, want: true},
		"a few, failed":                 {others: 3, silent: 800 * time.Millisecond},
		"tens, one report lost":         {others: 26, silent: 2 * 208 * time.Millisecond, want: true},
		"tens, failed":                  {others: 26, silent: 800 * time.Millisecond},
		"hundreds, one report lost":     {others: 132, silent: 1100 * time.Millisecond, want: true},
		"hundreds, two reports lost":    {others: 132, silent: 1300 * time.Millisecond},
		"fewer than the longest, alive": {others: 50, silent: 2 * 400 * time.Millisecond, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMembership(0, memtxn.New())
				for i := range x.others {
					p.ApplyReport(report(fmt.Sprint("x", i), 1, 1))
				}
				time.Sleep(x.silent)
				l := p.All()
				y, ok := p.ByVM("x0")
				if !ok || l[0].Alive() != x.want || y.Alive() != x.want {
					t.Errorf("alive: %v and %v", l[0].Alive(), y.Alive())
				}
			})
		})
	}
}

func TestCountHeard(t *testing.T) {
	for name, x := range map[string]struct {
		silent     map[string]bool
		leaving    map[string]bool
		heard, all int
	}{
		"all are heard":   {heard: 4, all: 4},
		"one is silent":   {silent: map[string]bool{"a": true}, heard: 3, all: 4},
		"one is leaving":  {leaving: map[string]bool{"a": true}, heard: 3, all: 3},
		"none but itself": {silent: map[string]bool{"a": true, "b": true, "c": true}, heard: 1, all: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMembership(0, memtxn.New())
				for n := range uint64(3) {
					for _, v := range []string{"a", "b", "c"} {
						if n > 0 && x.silent[v] {
							continue
						}
						m := bulrushlug.NewMember(v, v, "r", "z", bulrushlug.RoleEntry).WithLeaving(x.leaving[v])
						p.ApplyReport(bulrushlug.NewReport(m, 1, n+1))
					}
					time.Sleep(200 * time.Millisecond)
				}
				if heard, all := p.CountHeard(); heard != x.heard || all != x.all {
					t.Errorf("%d of %d processes are heard", heard, all)
				}
			})
		})
	}
}

// TestHeardBetweenReports counts the processes heard at any time between two reports, whatever their number and so the
// interval of reports.
func TestHeardBetweenReports(t *testing.T) {
	for name, x := range map[string]struct{ others, lost, want int }{
		"a few":                              {others: 3, want: 4},
		"tens":                               {others: 26, want: 27},
		"tens, one report lost":              {others: 26, lost: 1, want: 27},
		"60":                                 {others: 60, want: 61},
		"hundreds":                           {others: 132, want: 133},
		"hundreds, one report lost":          {others: 132, lost: 1, want: 133},
		"hundreds, one failed":               {others: 132, lost: 9, want: 132},
		"a few, one failed":                  {others: 3, lost: 9, want: 3},
		"a few, two reports of one in a row": {others: 3, lost: 2, want: 4},
		"hundreds, three reports of one in a row": {others: 132, lost: 3, want: 132},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMembership(0, memtxn.New())
				least := x.others + 1
				for n := range 10 + x.lost {
					for i := range x.others {
						if i > 0 || n < 10 {
							p.ApplyReport(report(fmt.Sprint("x", i), 1, uint64(n+1)))
						}
					}
					time.Sleep(ReportInterval(x.others) - time.Millisecond)
					heard, all := p.CountHeard()
					if all != x.others+1 {
						t.Fatalf("%d of %d processes are heard", heard, all)
					}
					least = min(least, heard)
					time.Sleep(time.Millisecond)
				}
				if least != x.want {
					t.Errorf("%d processes are heard, not %d", least, x.want)
				}
			})
		})
	}
}

func TestAll(t *testing.T) {
	for name, x := range map[string]struct {
		vms  []string
		want string
	}{
		"none":           {want: "[]"},
		"sorted":         {vms: []string{"c", "a", "b"}, want: "[a b c]"},
		"reported twice": {vms: []string{"b", "a", "b"}, want: "[a b]"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newMembership(0, memtxn.New())
			for i, v := range x.vms {
				p.All()
				p.ApplyReport(report(v, 1, uint64(i+1)))
			}
			l := []string{}
			for _, y := range p.All() {
				l = append(l, y.Member().Name())
			}
			if fmt.Sprint(l) != x.want {
				t.Errorf("the processes are %v", l)
			}
		})
	}
}

func TestEntries(t *testing.T) {
	for name, x := range map[string]struct {
		action func(m *memtxn.Store, second context.CancelFunc)
		want   int // Other processes that the first one knows.
		lost   bool
	}{
		"both start": {action: func(*memtxn.Store, context.CancelFunc) {}, want: 1},
		"an outage":  {action: func(m *memtxn.Store, _ context.CancelFunc) { m.SetOutage(true); time.Sleep(time.Minute) }, want: 1, lost: true},
		"after an outage": {action: func(m *memtxn.Store, _ context.CancelFunc) {
			m.SetOutage(true)
			time.Sleep(time.Minute)
			m.SetOutage(false)
			time.Sleep(10 * time.Second)
		}, want: 1},
		"the second leaves": {action: func(_ *memtxn.Store, stop context.CancelFunc) { stop(); time.Sleep(forgetTimeout + 2*listInterval) }},
		"history compacted": {action: func(m *memtxn.Store, _ context.CancelFunc) { m.Compact(); time.Sleep(10 * time.Second) }, want: 1},
		"a lost response":   {action: func(m *memtxn.Store, _ context.CancelFunc) { m.DropResponses(1); time.Sleep(10 * time.Second) }, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				c, stop := context.WithCancel(t.Context())
				d, second := context.WithCancel(c)
				p, q := newMembership(0, m), newMembership(1, m)
				go func() { _ = p.Run(c) }()
				go func() { _ = q.Run(d) }()
				time.Sleep(2 * time.Second)
				x.action(m, second)
				if n := len(p.All()); n != x.want || p.StoreLost() != x.lost {
					t.Errorf("%d other processes are known, StoreLost is %v", n, p.StoreLost())
				}
				stop()
				second()
				synctest.Wait()
			})
		})
	}
}

// TestRenewals counts the renewals of all processes: they do not grow with the number of processes without bound.
func TestRenewals(t *testing.T) {
	for name, x := range map[string]struct {
		others int
		want   time.Duration
	}{
		"a few":      {others: 3, want: time.Second},
		"tens":       {others: 26, want: time.Second},
		"60":         {others: 60, want: 1800 * time.Millisecond},
		"hundreds":   {others: 132, want: 3 * time.Second},
		"the target": {others: 1499, want: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(bulrushlug.NewMember("e", "e:1", "r", "z", bulrushlug.RoleEntry), 1, "", memtxn.New(), "vm/", 9*time.Second, log.NewNopLogger())
			for i := range x.others {
				p.ApplyReport(report(fmt.Sprint("x", i), 1, 1))
			}
			if got := p.renewalInterval(); got != x.want {
				t.Errorf("a renewal each %v", got)
			}
		})
	}
}

// TestSameRole guards against a list of processes of one role that depends on who is heard, or that is used before the
// entries were read.
func TestSameRole(t *testing.T) {
	for name, x := range map[string]struct {
		listed bool
		wait   time.Duration // Silence of the others.
		want   string
	}{
		"before the entries were read": {want: "[]"},
		"all are heard":                {listed: true, want: "[a b e0]"},
		"none is heard":                {listed: true, wait: 10 * time.Second, want: "[a b e0]"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMembership(0, memtxn.New())
				for vm, role := range map[string]string{"a": p.Self().Role(), "b": p.Self().Role(), "d": "data"} {
					p.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember(vm, vm, "r", "z", role), 1, 1))
				}
				if x.listed {
					if err := p.list(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(x.wait)
				l, _ := p.SameRole()
				if got := fmt.Sprint(l); got != x.want {
					t.Errorf("processes %s, want %s", got, x.want)
				}
			})
		})
	}
}
