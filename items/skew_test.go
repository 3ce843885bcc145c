package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestClockSkew guards against items that are given up before the end of their retention, which is a minute here, as the
// clock of the process that received their lot was behind.
func TestClockSkew(t *testing.T) {
	for name, x := range map[string]struct {
		behind time.Duration // How far that clock was behind; negative if it was ahead.
		after  time.Duration // Time since the lot was received.
		want   string
	}{
		"equal clocks, before":         {after: 59 * time.Second},
		"equal clocks, after":          {after: 70 * time.Second, want: "given up"},
		"behind by two seconds":        {behind: 2 * time.Second, after: 59 * time.Second},
		"behind by four seconds":       {behind: 4 * time.Second, after: 59 * time.Second},
		"behind by two, in the end":    {behind: 2 * time.Second, after: 70 * time.Second, want: "given up"},
		"ahead by two seconds":         {behind: -2 * time.Second, after: 59 * time.Second},
		"ahead by two, but in the end": {behind: -2 * time.Second, after: 70 * time.Second, want: "given up"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, map[string][]int{"i0": repeat(503, 1000)})
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now().Add(-x.behind), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := s.manager.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.after)
				if got := s.listed(t)["i0"]; got != x.want {
					t.Errorf("result is %q", got)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
