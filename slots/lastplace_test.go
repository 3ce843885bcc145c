package slots

import (
	"sync"
	"sync/atomic"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestLastPlace guards against a server that gets more requests than it has places for, as several requests choose its last place
// at the same moment.
func TestLastPlace(t *testing.T) {
	for name, x := range map[string]struct{ slots, held, want int }{
		"one slot":                       {slots: 1, want: 1},
		"the last place of a full queue": {slots: 8, held: 9, want: 1},
		"the last two":                   {slots: 8, held: 8, want: 2},
		"none":                           {slots: 8, held: 10},
	} {
		t.Run(name, func(t *testing.T) {
			for range 300 {
				b := New("e", alone)
				b.Update([]bulrushlug.Backend{backend("a", uint32(x.slots))})
				for range x.held {
					if l, _ := b.AcquireOnline("s", nil); l == nil {
						t.Fatal("no place for the requests before")
					}
				}
				var got atomic.Int32
				var w sync.WaitGroup
				begin := make(chan struct{})
				for range 8 {
					w.Go(func() {
						<-begin
						if l, _ := b.AcquireOnline("s", nil); l != nil {
							got.Add(1)
						}
					})
				}
				close(begin)
				w.Wait()
				if n := int(got.Load()); n != x.want {
					t.Fatalf("%d requests got a place, want %d", n, x.want)
				}
			}
		})
	}
}
