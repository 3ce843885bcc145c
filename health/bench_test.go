package health

import (
	"fmt"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// BenchmarkShare divides servers among the processes of four zones, and of the 23 of the target.
func BenchmarkShare(b *testing.B) {
	for name, x := range map[string]struct{ servers, processes, zones int }{"56 servers": {56, 37, 4}, "1500 servers": {1500, 300, 4}, "12000 servers": {12000, 1500, 23}} {
		b.Run(name, func(b *testing.B) {
			var l []bulrushlug.Backend
			for i := range x.servers {
				l = append(l, bulrushlug.NewBackend(fmt.Sprint("i-7f3a91c", i), "s", "h:1", bulrushlug.BackendZoneSlots(fmt.Sprint("z", i%x.zones), 8)))
			}
			var alive []bulrushlug.Member
			for i := range x.processes {
				alive = append(alive, bulrushlug.NewMember(fmt.Sprint("edge-", i), "h:1", "r", fmt.Sprint("z", i%x.zones), bulrushlug.RoleEntry))
			}
			p := New(alive[0], time.Second)
			for b.Loop() {
				p.Share(l, alive)
			}
		})
	}
}
