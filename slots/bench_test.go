package slots

import (
	"fmt"
	"testing"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/even"
	"bulrushlug.dev/bulrushlug/least"
)

// BenchmarkAcquire measures the placement of one request and of one batch item at the sizes of the large site and of a
// grown one, each with both choosers.
func BenchmarkAcquire(b *testing.B) {
	for name, c := range map[string]bulrushlug.Chooser{"leastLoaded": least.New(), "even": even.New()} {
		b.Run(name+" at 160 servers", func(b *testing.B) { benchmarkAcquire(b, 160, 118, c) })
		b.Run(name+" at 56 servers", func(b *testing.B) { benchmarkAcquire(b, 56, 37, c) })
		b.Run(name+" at 12000 servers", func(b *testing.B) { benchmarkAcquire(b, 12000, 300, c) })
	}
}

func benchmarkAcquire(b *testing.B, servers, others int, c bulrushlug.Chooser) {
	var vms []string
	for i := range 30 {
		vms = append(vms, fmt.Sprint("d", i))
	}
	x := New("d0", func() []string { return vms[1:] }, WithChooser(c))
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
