package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
)

// TestByDisk looks up a disk of which several processes have reported that they have it, as it went to another VM.
func TestByDisk(t *testing.T) {
	for name, x := range map[string]struct {
		former, now string // VMs that had the disk and have it now; empty for none.
		alive       bool   // The former one still reports, with another disk.
		want        string
	}{
		"nobody":                             {},
		"one":                                {now: "b", want: "b"},
		"one that is silent":                 {former: "b", want: "b"},
		"it moves to a VM sorted before":     {former: "b", now: "a", want: "a"},
		"it moves to a VM sorted after":      {former: "a", now: "b", want: "b"},
		"the former VM has another disk":     {former: "a", now: "b", alive: true, want: "b"},
		"the former VM comes after, at once": {former: "b", now: "a", alive: true, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMembership(0, memtxn.New())
				if x.former != "" {
					m.ApplyReport(report(x.former, 1, 1, bulrushlug.ReportState("disk", 1)))
				}
				time.Sleep(2 * time.Second)
				if x.alive {
					m.ApplyReport(report(x.former, 2, 1, bulrushlug.ReportState("empty", 1)))
				}
				if x.now != "" {
					m.ApplyReport(report(x.now, 3, 1, bulrushlug.ReportState("disk", 1)))
				}
				p, ok := m.ByDisk("disk")
				if ok != (x.want != "") || p.Member().Name() != x.want {
					t.Errorf("ByDisk returned %q, %v", p.Member().Name(), ok)
				}
			})
		})
	}
}
