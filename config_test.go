package bulrushlug_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// newConfig returns a configuration of n organisations with two keys each.
func newConfig(tb testing.TB, n int) *bulrushlug.Config {
	var l []bulrushlug.Change
	for i := range n {
		o := bulrushlug.NewOrganisation(fmt.Sprintf("organisation-%05d", i), 10, 20).WithSelector("zone in (a, b)")
		for k := range 2 {
			o = o.WithKey(bulrushlug.NewKey(fmt.Sprint("key-", k), bulrushlug.HashKey(fmt.Sprint(i, k)), false))
		}
		l = append(l, bulrushlug.NewChange(fmt.Sprint(i), "t", o).WithRevision(uint64(i+1)))
	}
	return bulrushlug.RestoreConfig(uint64(n), l)
}

func BenchmarkConfigMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 5700} {
		b.Run(fmt.Sprint(n, " organisations"), func(b *testing.B) {
			before := heap()
			f := newConfig(b, n)
			b.ReportMetric(float64(heap()-before)/float64(n), "bytes/organisation")
			size := 0
			for _, c := range f.Entities() {
				size += proto.Size(codec.EncodeChange(c))
			}
			b.ReportMetric(float64(size)/float64(n), "encoded-bytes/organisation")
			runtime.KeepAlive(f)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkConfigApply(b *testing.B) {
	for _, n := range []int{100, 1000, 5700} {
		b.Run(fmt.Sprint(n, " organisations"), func(b *testing.B) {
			f := newConfig(b, n)
			c := bulrushlug.NewChange("x", "t", bulrushlug.NewOrganisation("organisation-00001", 11, 20)).WithRevision(f.Revision() + 1)
			for b.Loop() {
				if _, err := f.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestConfigOnlyMovesForward(t *testing.T) {
	o := func(rate float64) bulrushlug.Change {
		return bulrushlug.NewChange("i", "t", bulrushlug.NewOrganisation("o", rate, 1))
	}
	for name, x := range map[string]struct {
		revision uint64
		ok       bool
	}{
		"the next":   {revision: 3, ok: true},
		"the same":   {revision: 2},
		"an old one": {revision: 1},
		"a gap":      {revision: 5},
	} {
		t.Run(name, func(t *testing.T) {
			f := bulrushlug.RestoreConfig(2, []bulrushlug.Change{o(1).WithRevision(2)})
			g, err := f.Apply(o(7).WithRevision(x.revision))
			if (err == nil) != x.ok {
				t.Fatalf("error %v", err)
			}
			if err == nil && g.Revision() != 3 {
				t.Errorf("revision %d", g.Revision())
			}
		})
	}
}

func TestKindsHaveOneAnswer(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range bulrushlug.Kinds() {
		a := k.Response()
		if a.Name() == "" || seen[a.Name()] || a.Status() < 400 || a.Status() > 599 {
			t.Errorf("%d: %+v", k, a)
		}
		if a.Retryable() && a.MayHaveRun() {
			t.Errorf("%s is retryable although the request may have run", a.Name())
		}
		if bulrushlug.ParseKind(a.Name()) != k {
			t.Errorf("ParseKind does not return kind %s for its name", a.Name())
		}
		seen[a.Name()] = true
	}
}
