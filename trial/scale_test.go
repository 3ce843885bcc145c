package trial

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug/bounds"
)

// TestControlCost measures the control traffic of idle fleets of different sizes and the propagation time of a change.
func TestControlCost(t *testing.T) {
	const quiet = 10 * time.Second
	sizes := map[string]struct {
		zones, each int
		outage      bool
	}{
		"10 nodes":              {zones: 2, each: 5},
		"100 nodes":             {zones: 5, each: 20},
		"600 nodes":             {zones: 23, each: 26},
		"1495 nodes":            {zones: 23, each: 65},
		"1495 nodes, store out": {zones: 23, each: 65, outage: true},
		"1500 nodes, few zones": {zones: 4, each: 375},
	}
	for name, x := range sizes {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newVirtualFleet(t, 19, 0, x.zones, x.each)
				defer f.close()
				time.Sleep(8 * time.Second)
				f.store.SetOutage(x.outage)
				time.Sleep(4 * time.Second)
				before := f.bytes()
				r0, w0 := f.store.Calls()
				cpu := cpuTime()
				time.Sleep(quiet)
				cpu = cpuTime() - cpu
				r1, w1 := f.store.Calls()
				most, sum := uint64(0), uint64(0)
				for n, b := range f.bytes() {
					d := b - before[n]
					most, sum = max(most, d), sum+d
				}
				s := uint64(quiet / time.Second)
				mean := sum / s / uint64(len(f.order))
				t.Logf("%d zones: sent per node: mean %d, most %d bytes/s; reads %.1f/s, writes %.1f/s",
					x.zones, mean, most/s, float64(r1-r0)/quiet.Seconds(), float64(w1-w0)/quiet.Seconds())
				reportMeasure(t, "control: most bytes/s sent by a process", name, float64(most/s))
				reportMeasure(t, "control: reads/s on the key-value service", name, float64(r1-r0)/quiet.Seconds())
				t.Logf("processor %.4f%% of a core, memory %d KB per node",
					100*cpu.Seconds()/quiet.Seconds()/float64(len(f.order)), heap()/1024/uint64(len(f.order)))
				if most/s > bounds.MaxControlBytesPerSecond {
					t.Errorf("a process sends %d bytes/s of control traffic", most/s)
				}
				if (r1-r0)/s > bounds.StoreReadsPerSecond {
					t.Errorf("%d reads/s on the key-value service", (r1-r0)/s)
				}
				for n, p := range f.all() {
					if !p.control.State().Fresh() {
						t.Errorf("configuration of %s is not fresh", n)
					}
				}
				if x.outage {
					return
				}
				at := time.Now()
				n, err := f.propose(len(f.order)-1, org("zvonik", 10, 5))
				if err != nil {
					t.Fatal(err)
				}
				accepted := time.Since(at)
				f.waitFor(n, bounds.MaxConfigPropagationTime)
				t.Logf("change accepted after %v and applied by all processes after %v", accepted, time.Since(at))
			})
		})
	}
}

// bytes returns the bytes sent by each process, by VM.
func (f *virtualFleet) bytes() map[string]uint64 {
	m := map[string]uint64{}
	for n, p := range f.all() {
		m[n], _ = f.net.Bytes(p.member.Address())
	}
	return m
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of heap in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
