package items

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// TestClockSkew guards against items that are given up before the end of their retention, which is a minute here, as the
// clock of the process that received their lot was behind that of the one which runs them, and against items that are kept
// for longer than that as it was ahead. The lot passes through its encoding, as between the two processes: a clock that is ahead by
// some time is one that moved on by it in between.
func TestClockSkew(t *testing.T) {
	for name, x := range map[string]struct {
		ahead time.Duration // How far the clock of the process that runs the items is ahead.
		age   time.Duration // Time for which the lot was at the other process.
		after time.Duration // Time since the process that runs its items got it.
		want  string
	}{
		"equal clocks, before":             {after: 59 * time.Second},
		"equal clocks, after":              {after: 61 * time.Second, want: "given up"},
		"two seconds, before":              {ahead: 2 * time.Second, after: 59 * time.Second},
		"two seconds, after":               {ahead: 2 * time.Second, after: 61 * time.Second, want: "given up"},
		"four seconds, before":             {ahead: 4 * time.Second, after: 59 * time.Second},
		"twelve seconds, before":           {ahead: 12 * time.Second, after: 59 * time.Second},
		"a minute, before":                 {ahead: time.Minute, after: 59 * time.Second},
		"an hour, before":                  {ahead: time.Hour, after: 59 * time.Second},
		"an hour, after":                   {ahead: time.Hour, after: 61 * time.Second, want: "given up"},
		"some seconds at an entry, before": {age: 3 * time.Second, ahead: 2 * time.Second, after: 56 * time.Second},
		"some seconds at an entry, after":  {age: 3 * time.Second, ahead: 2 * time.Second, after: 58 * time.Second, want: "given up"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, map[string][]int{"i0": repeat(503, 1000)})
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				time.Sleep(x.age)
				b, err := proto.Marshal(codec.EncodeLot(l))
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.ahead)
				w := &wire.Lot{}
				if err := proto.Unmarshal(b, w); err != nil {
					t.Fatal(err)
				}
				if err := s.manager.Submit(c, codec.DecodeLot(w)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.after)
				if got := s.listed(t)["i0"]; got != x.want {
					t.Errorf("result is %q", got)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
