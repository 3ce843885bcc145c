package items

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestGivenUpLine guards against items that are given up without a line that tells why: which age, which retention, which
// configuration.
func TestGivenUpLine(t *testing.T) {
	for name, x := range map[string]struct {
		status []int
		gone   bool // The route is removed after 10 s.
		want   []string
	}{
		"the end of its retention": {status: repeat(503, 1000), want: []string{"reason its retention has ended", "retention 1m0s", "route r", "acceptedUnder 0", "configuration 1"}},
		"its route is removed":     {status: repeat(503, 1000), gone: true, want: []string{"reason its route was removed", "route r", "configuration 2"}},
		"a rejection":              {status: []int{422}, want: []string{"reason the backend server rejected it", "status 422", "failed 0"}},
		"failures":                 {status: repeat(500, 10), want: []string{"reason the backend server rejected it", "status 500", "failed 3"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, map[string][]int{"i0": x.status})
				if err := s.submit(c, 1); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if x.gone {
					s.routes.setRevision(2)
				}
				time.Sleep(time.Minute)
				l := s.lines.givenUp.Load()
				if l == nil {
					t.Fatal("no line")
				}
				for _, w := range append(x.want, "lot lot", "item 0") {
					if got := strings.Trim(fmt.Sprint(*l), "[]"); !strings.Contains(got, w) {
						t.Errorf("%q is not in %q", w, got)
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
