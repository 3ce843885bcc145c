package items

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// BenchmarkCount is one count of items that wait, which is made once a second.
func BenchmarkCount(b *testing.B) {
	for name, n := range map[string]int{"5000 items": 5000} {
		b.Run(name, func(b *testing.B) {
			var l []bulrushlug.LotItem
			for i := range n {
				l = append(l, bulrushlug.NewLotItem(fmt.Sprint("i", i), "/p", nil, nil))
			}
			x := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), l)
			w, now := newWaits(log.NewNopLogger()), time.Now()
			for b.Loop() {
				now = now.Add(countInterval)
				m := w.begin(now)
				for i := range n {
					m.add(waitSlot, x, uint32(i), time.Time{}, nil)
				}
				m.end(func(wait) []any { return nil }, func(key) string { return "" })
			}
		})
	}
}
