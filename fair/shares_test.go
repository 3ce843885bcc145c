package fair

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

type source struct{ config *bulrushlug.Config }

func (s source) Config() *bulrushlug.Config { return s.config }
func (s source) Fresh() bool                { return true }
func (s source) Accepted() uint64           { return 1 }

// TestExceeds charges work for organisations with rates 10 and 30.
func TestExceeds(t *testing.T) {
	for name, x := range map[string]struct {
		small, large float64       // Work charged here.
		remote       uint64        // Work of the small organisation that another process reports.
		restarted    bool          // The other process restarted before the report.
		after        time.Duration // Time between the work and the question.
		want         bool          // The small one exceeds its share.
	}{
		"nothing":                        {},
		"by weight":                      {small: 1000, large: 3000},
		"a little more":                  {small: 1200, large: 3000},
		"much more":                      {small: 3000, large: 3000, want: true},
		"at another process":             {small: 1000, large: 3000, remote: 2000, want: true},
		"at one that restarted":          {small: 1000, large: 3000, remote: 2000, restarted: true},
		"alone":                          {small: 5000},
		"long ago":                       {small: 3000, large: 3000, after: 10 * memory},
		"a process that restarted alone": {restarted: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(source{bulrushlug.RestoreConfig(1, []bulrushlug.Change{
					bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("small", 10, 10)),
					bulrushlug.NewChange("2", "t", bulrushlug.NewOrganisation("large", 30, 30)),
				})})
				report := func(boot, work uint64) {
					s.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember("e", "", "", "", ""), boot, 1,
						bulrushlug.ReportAdmissionCounts([]bulrushlug.AdmissionCount{bulrushlug.NewAdmissionCount("small", 1, 1).WithWork(work)})))
				}
				report(1, 1)
				s.Charge("small", x.small)
				s.Charge("large", x.large)
				boot := uint64(1)
				if x.restarted {
					boot = 2
				}
				report(boot, 1+x.remote)
				time.Sleep(x.after)
				if v := s.Exceeds("small"); v != x.want {
					t.Errorf("Exceeds returned %v: %g is used, the mean is %g", v, s.Used("small"), s.mean())
				}
				if l := s.Add([]bulrushlug.AdmissionCount{bulrushlug.NewAdmissionCount("small", 1, 1)}); l[0].Work() != uint64(x.small) {
					t.Errorf("the report has %d tokens, want %g", l[0].Work(), x.small)
				}
			})
		})
	}
}

// BenchmarkApplyReport takes a report with the work for 83 organisations, and asks once for the mean of all.
func BenchmarkApplyReport(b *testing.B) {
	s := New(source{bulrushlug.RestoreConfig(1, nil)})
	l := make([]bulrushlug.AdmissionCount, 83)
	for i := range b.N {
		for j := range l {
			l[j] = bulrushlug.NewAdmissionCount(fmt.Sprint("o", j), 1, 1).WithWork(uint64(i + 1))
		}
		s.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember("e", "", "", "", ""), 1, 1, bulrushlug.ReportAdmissionCounts(l)))
		s.lastMean.Store(nil)
		s.Exceeds("o1")
	}
}

// TestForgets has organisations come and go: of those that are no longer in the configuration nothing is kept.
func TestForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(source{bulrushlug.RestoreConfig(1, []bulrushlug.Change{bulrushlug.NewChange("1", "t", bulrushlug.NewOrganisation("kept", 10, 10))})})
		s.Charge("kept", 100)
		for i := range 1000 {
			s.Charge(fmt.Sprint("gone", i), 100)
		}
		time.Sleep(time.Minute)
		s.Exceeds("kept")
		n := 0
		for i := range s.shards {
			n += len(s.shards[i].accounts)
		}
		if l := s.Add([]bulrushlug.AdmissionCount{bulrushlug.NewAdmissionCount("kept", 1, 1)}); n != 1 || l[0].Work() != 100 {
			t.Errorf("%d accounts, want one; it has %d tokens, want 100", n, l[0].Work())
		}
	})
}
