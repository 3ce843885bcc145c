package slots

import (
	"fmt"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// BenchmarkAcquire measures the placement of one request and of one batch item at the size of the large site.
func BenchmarkAcquire(b *testing.B) {
	const servers, others = 160, 118
	var vms []string
	for i := range 30 {
		vms = append(vms, fmt.Sprint("d", i))
	}
	x := New("d0", func() []string { return vms[1:] })
	var l []bulrushlug.Backend
	var u []bulrushlug.Usage
	for i := range servers {
		id := fmt.Sprint("s", i)
		l = append(l, backend(id, 8))
		if i%3 == 0 {
			u = append(u, bulrushlug.NewUsage(id, 0, 0))
		}
	}
	x.Update(l)
	for i := range others {
		x.UpdateRemote(fmt.Sprint("e", i), u)
	}
	for name, f := range map[string]func(){
		"online": func() { r, _ := x.AcquireOnline("s", nil); r.Release() },
		"batch": func() {
			if r := x.AcquireBatch("s"); r != nil {
				r.Release()
			}
		},
		"preemptions": func() { x.Preemptions() },
		"report":      func() { x.UpdateRemote("e1", u) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
}
