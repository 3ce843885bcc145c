package cfglog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/memkv"
)

// config returns a configuration of n organisations at revision n, in several parts.
func config(n int) *bulrushlug.Config {
	var l []bulrushlug.Change
	for i := range n {
		o := bulrushlug.NewOrganisation(fmt.Sprint("o", i), 1, 1)
		l = append(l, bulrushlug.NewChange("", fmt.Sprintf("%0*d", maxPartBytes/8, i), o).WithRevision(uint64(i+1)))
	}
	return bulrushlug.RestoreConfig(uint64(n), l)
}

// interrupted is a service in which something happens before the first listing.
type interrupted struct {
	*memkv.Store
	before func()
}

func (s *interrupted) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	if f := s.before; f != nil {
		s.before = nil
		f()
	}
	return s.Store.List(c, p)
}

// TestReadSnapshot reads a snapshot while another process replaces it.
func TestReadSnapshot(t *testing.T) {
	for name, x := range map[string]struct{ first, second int }{
		"none":                   {},
		"one":                    {first: 9},
		"replaced between reads": {first: 9, second: 12},
		"the first one written":  {second: 9},
	} {
		t.Run(name, func(t *testing.T) {
			m := memkv.New()
			writer := &Log{store: m}
			write := func(n int) {
				if n == 0 {
					return
				}
				if err := writer.writeSnapshot(t.Context(), config(n)); err != nil {
					t.Fatal(err)
				}
			}
			write(x.first)
			r := &Log{store: &interrupted{Store: m, before: func() { write(x.second) }}}
			f, err := r.readSnapshot(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if n := len(f.Entities()); int(f.Revision()) != n || n != x.first && n != x.second {
				t.Errorf("%d organisations at revision %d", n, f.Revision())
			}
		})
	}
}

// TestParts checks the size of each part of a snapshot, and that one change larger than half of a part is counted.
func TestParts(t *testing.T) {
	for name, n := range map[string]int{"one": 1, "a few": 5, "many": 40} {
		t.Run(name, func(t *testing.T) {
			all := 0
			for _, p := range splitSnapshot(config(n)) {
				b, err := codec.JSON(p)
				if err != nil || len(b) > maxPartBytes {
					t.Errorf("a part of %d bytes, error %v", len(b), err)
				}
				all += len(p.Changes)
			}
			if all != n {
				t.Errorf("%d changes", all)
			}
		})
	}
}

// TestCompact deletes old changes of which one does not decode.
func TestCompact(t *testing.T) {
	for name, x := range map[string]struct {
		bad  map[int]bool
		want int // Changes left of five, of which the snapshot includes four.
	}{
		"all decode":           {want: 1},
		"the first does not":   {bad: map[int]bool{1: true}, want: 2},
		"two in between don't": {bad: map[int]bool{2: true, 3: true}, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memkv.New()
				l := &Log{store: m, recorder: event.New("vm", clock.New())}
				for n := 1; n <= 5; n++ {
					b, err := codec.JSON(codec.EncodeChange(bulrushlug.NewChange("", "a", bulrushlug.NewOrganisation("o", 1, 1)).WithRevision(uint64(n))))
					if err != nil {
						t.Fatal(err)
					}
					if x.bad[n] {
						b = []byte("{")
					}
					if _, err := m.CompareAndSwap(t.Context(), key(uint64(n)), b, 0); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * logRetention)
				l.compact(t.Context(), 4)
				left, _, err := m.List(t.Context(), prefix)
				if err != nil || len(left) != x.want {
					t.Errorf("%d changes are left, error %v", len(left), err)
				}
			})
		})
	}
}
