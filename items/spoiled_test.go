package items

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestSpoiledItemHoldsUpNoOther guards against a lot of which nothing is listed any more because a server sent one of its
// items something that can't be stored.
func TestSpoiledItemHoldsUpNoOther(t *testing.T) {
	for name, x := range map[string]struct {
		status map[string][]int
		during func(s *system)
		want   int // Results after a while; the items are six.
	}{
		"one event":               {status: map[string][]int{"i2": {spoilsEvent}}, want: 6},
		"an item, for ever":       {status: map[string][]int{"i2": repeat(spoilsEvent, 1000)}, want: 5},
		"three items, for ever":   {status: map[string][]int{"i0": repeat(spoilsEvent, 1000), "i2": repeat(spoilsEvent, 1000), "i4": repeat(spoilsEvent, 1000)}, want: 3},
		"with a break in between": {status: map[string][]int{"i2": {spoilsEvent, breaksOff, spoilsEvent}}, want: 6},
		"an item's result, from another source": {want: 6, during: func(s *system) {
			s.manager.RecordResult(context.Background(), "lot", bulrushlug.NewLotResult(3, true, "\xff"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, x.status)
				if err := s.submit(c, 6); err != nil {
					t.Fatal(err)
				}
				if x.during != nil {
					x.during(s)
				}
				time.Sleep(10 * time.Second)
				l := s.listed(t)
				if len(l) != x.want {
					t.Errorf("%d results: %v", len(l), l)
				}
				for i, v := range l {
					if v != whole() && i != fmt.Sprint("i", 3) {
						t.Errorf("result of %s: %q", i, v)
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
