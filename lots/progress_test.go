package lots

import (
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// TestTextsAreNotJoined sends a replica the progress of an item in several parts.
func TestTextsAreNotJoined(t *testing.T) {
	type part struct {
		epoch       uint64
		text, first uint64
		data        []string
		replaces    uint64
	}
	for name, x := range map[string]struct {
		parts []part
		want  []string
	}{
		"one text":                      {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 7, 3, []string{"a3"}, 0}}, want: []string{"a1", "a2", "a3"}},
		"a part twice":                  {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 7, 1, []string{"a1", "a2", "a3"}, 0}}, want: []string{"a1", "a2", "a3"}},
		"a late part":                   {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 7, 1, []string{"a1"}, 0}}, want: []string{"a1", "a2"}},
		"a gap":                         {parts: []part{{1, 7, 1, []string{"a1"}, 0}, {1, 7, 3, []string{"a3"}, 0}}, want: []string{"a1"}},
		"a restarted primary":           {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 1, []string{"b1", "b2", "b3"}, 0}}, want: []string{"b1", "b2", "b3"}},
		"a restarted primary, shorter":  {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 1, []string{"b1"}, 0}}, want: []string{"b1"}},
		"another text without its head": {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 3, []string{"b3"}, 0}}, want: []string{"a1", "a2"}},
		"another primary":               {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {2, 8, 1, []string{"b1", "b2", "b3"}, 0}}, want: []string{"b1", "b2", "b3"}},
		"a replaced primary":            {parts: []part{{2, 8, 1, []string{"b1"}, 0}, {1, 7, 1, []string{"a1", "a2"}, 0}}, want: []string{"b1"}},
		"a text that was dropped":       {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 1, nil, 7}}},
		"another than the dropped text": {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 1, nil, 6}}, want: []string{"a1", "a2"}},
		"a text after the dropped one":  {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 8, 1, []string{"b1"}, 7}}, want: []string{"b1"}},
		"a late drop":                   {parts: []part{{1, 8, 1, []string{"b1"}, 0}, {1, 8, 1, nil, 7}}, want: []string{"b1"}},
		"a late drop of a longer text":  {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {1, 9, 1, []string{"c1"}, 7}, {1, 8, 1, nil, 7}}, want: []string{"c1"}},
		"a primary without progress":    {parts: []part{{1, 7, 1, []string{"a1", "a2"}, 0}, {2, 8, 1, nil, 0}}, want: []string{"a1", "a2"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", memtxn.New(), "vm/", time.Second, log.NewNopLogger())
			k := New(newDisk("r"), nil, memtxn.New(), "lot/", p, log.NewNopLogger())
			h := bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)}))
			for _, y := range x.parts {
				u := bulrushlug.NewLotUpdate("lot", y.epoch, []string{"p", "r"}, 0, []bulrushlug.LotEntry{h}, true)
				if _, err := k.Append(u.WithProgress([]bulrushlug.LotProgress{bulrushlug.NewLotProgress(0, y.text, y.first, y.data).Replacing(y.replaces)})); err != nil {
					t.Fatal(err)
				}
			}
			if got := k.Progress("lot", 0); !slices.Equal(got, x.want) {
				t.Errorf("events %q", got)
			}
		})
	}
}

// TestProgressOfEndedLot ends a lot on a replica that knows the progress of its items: it keeps none.
func TestProgressOfEndedLot(t *testing.T) {
	progress := []bulrushlug.LotProgress{bulrushlug.NewLotProgress(0, 7, 1, []string{"a1", "a2"})}
	for name, late := range map[string][]bulrushlug.LotProgress{"no more progress": nil, "late progress": progress} {
		t.Run(name, func(t *testing.T) {
			p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", memtxn.New(), "vm/", time.Second, log.NewNopLogger())
			k := New(newDisk("r"), nil, memtxn.New(), "lot/", p, log.NewNopLogger())
			l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
			for _, u := range []bulrushlug.LotUpdate{
				bulrushlug.NewLotUpdate("lot", 1, []string{"p", "r"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, true).WithProgress(progress),
				bulrushlug.NewLotUpdate("lot", 1, []string{"p", "r"}, 1, []bulrushlug.LotEntry{bulrushlug.NewLotEndEntry()}, true).WithProgress(late),
			} {
				if s, err := k.Append(u); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
			}
			if got := k.Progress("lot", 0); len(got) > 0 {
				t.Errorf("events %q", got)
			}
		})
	}
}

// TestProgressOnDisk sends a replica an entry with the progress of another item: only the entry is written to its disk.
func TestProgressOnDisk(t *testing.T) {
	for name, x := range map[string]struct {
		progress []bulrushlug.LotProgress
		want     []string
	}{
		"none":       {},
		"two events": {progress: []bulrushlug.LotProgress{bulrushlug.NewLotProgress(1, 7, 1, []string{"a1", "a2"})}, want: []string{"a1", "a2"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", memtxn.New(), "vm/", time.Second, log.NewNopLogger())
			d := newDisk("r")
			k := New(d, nil, memtxn.New(), "lot/", p, log.NewNopLogger())
			l := []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil), bulrushlug.NewLotItem("j", "/", nil, nil)}
			e := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), l)),
				bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(0, true, "a"))}
			for n := range e {
				u := bulrushlug.NewLotUpdate("lot", 1, []string{"p", "r"}, n, e[n:n+1], true)
				if s, err := k.Append(u.WithProgress(x.progress)); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
			}
			if got := k.Progress("lot", 1); !slices.Equal(got, x.want) {
				t.Errorf("events %q", got)
			}
			for _, u := range d.updates["lot"] {
				if len(u.Progress()) > 0 || u.WantsProgress() {
					t.Errorf("the progress %v is on the disk", u.Progress())
				}
			}
		})
	}
}
