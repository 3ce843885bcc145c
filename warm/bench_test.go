package warm

import (
	"fmt"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// BenchmarkOpen asks for 300 servers, all of which are warm or cold, in a fleet of 300 processes.
func BenchmarkOpen(b *testing.B) {
	for name, cold := range map[string]time.Duration{"warm": 0, "cold": time.Hour} {
		b.Run(name, func(b *testing.B) {
			var vms []string
			for i := range 300 {
				vms = append(vms, fmt.Sprint("p", i))
			}
			g := New("p0", false, bulrushlug.NewWarmup(1.5, 5), func() ([]string, uint64) { return vms, 1 })
			g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 7.6, time.Second)})
			var l []bulrushlug.Backend
			for i := range 300 {
				l = append(l, bulrushlug.NewBackend(fmt.Sprint("i-7f3a91c", i), "s", "h:1", bulrushlug.BackendColdTime(cold)))
			}
			b.ReportAllocs()
			g.Update(l)
			now := time.Now().Add(reportLag)
			for b.Loop() {
				for _, x := range l {
					g.Open(x, now)
				}
			}
		})
	}
}
