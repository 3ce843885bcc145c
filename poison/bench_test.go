package poison

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// BenchmarkStorm measures a detector whose shard is full of suspects: the check of a prompt, and a report with its
// encoding, whose bytes it reports.
func BenchmarkStorm(b *testing.B) {
	x := newFixture()
	for i := range maxSuspects {
		crashes(x.Detector, i, i+3, fmt.Sprint("part-", i/3))
	}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			_ = x.Check(prompt("a", "d", "o"))
		}
	})
	b.Run("report", func(b *testing.B) {
		n := 0
		for b.Loop() {
			r := bulrushlug.NewReport(bulrushlug.NewMember("v", "h:1", "", "z", "entry"), 1, 2, bulrushlug.ReportSuspects(x.Suspects()))
			n = proto.Size(codec.EncodeReport(r))
		}
		b.ReportMetric(float64(n), "bytes")
	})
	b.Run("merge", func(b *testing.B) {
		l := x.Suspects()
		for b.Loop() {
			x.other.Merge(l)
		}
	})
}
