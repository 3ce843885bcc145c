package peers

import (
	"fmt"
	"testing"

	"bulrushlug.dev/bulrushlug/memtxn"
)

// BenchmarkHundreds has as many processes as the large deployment; each report and each request counts those heard.
func BenchmarkHundreds(b *testing.B) {
	p := newMembership(0, memtxn.New())
	for i := range 132 {
		p.ApplyReport(report(fmt.Sprint("x", i), 1, 1))
	}
	for name, f := range map[string]func(){"All": func() { p.All() }, "CountHeard": func() { p.CountHeard() }} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
}
