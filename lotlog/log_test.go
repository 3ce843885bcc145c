package lotlog

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func update(i string, epoch uint64, from int, text ...string) bulrushlug.LotUpdate {
	var l []bulrushlug.LotEntry
	for n, x := range text {
		l = append(l, bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(uint32(from+n), true, x)))
	}
	return bulrushlug.NewLotUpdate(i, epoch, []string{"d1", "d2"}, from, l, true)
}

func open(t *testing.T, d string) *Log {
	t.Helper()
	l, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// texts returns the joined texts of all updates of lot i.
func texts(t *testing.T, l *Log, i string) (s string) {
	t.Helper()
	if err := l.Load(func(u bulrushlug.LotUpdate) {
		if u.Lot() != i {
			return
		}
		for _, e := range u.Entries() {
			s += e.Result().Text()
		}
	}); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestTornTail(t *testing.T) {
	d := t.TempDir()
	l := open(t, d)
	p := l.path("lot")
	var ends []int // Size of the file after each update.
	for n, x := range []string{"a", "b", "c"} {
		if err := l.Append(update("lot", 1, n, x)); err != nil {
			t.Fatal(err)
		}
		i, err := os.Stat(p)
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(i.Size()))
	}
	whole, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) + 1 {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			if err := os.WriteFile(p, whole[:n], fileMode); err != nil {
				t.Fatal(err)
			}
			l := open(t, d)
			steps := 0
			for steps < len(ends) && ends[steps] <= n {
				steps++
			}
			want := "abc"[:steps]
			if got := texts(t, l, "lot"); got != want {
				t.Fatalf("loaded %q, want %q", got, want)
			}
			if err := l.Append(update("lot", 1, steps, "x")); err != nil {
				t.Fatal(err)
			}
			if got := texts(t, open(t, d), "lot"); got != want+"x" {
				t.Errorf("loaded %q after one more update", got)
			}
		})
	}
}

func TestCorruptRecord(t *testing.T) {
	d := t.TempDir()
	l := open(t, d)
	for n, x := range []string{"a", "b"} {
		if err := l.Append(update("lot", 1, n, x)); err != nil {
			t.Fatal(err)
		}
	}
	b, _ := os.ReadFile(l.path("lot"))
	b[len(b)-1]++
	if err := os.WriteFile(l.path("lot"), b, fileMode); err != nil {
		t.Fatal(err)
	}
	if got := texts(t, open(t, d), "lot"); got != "a" {
		t.Errorf("loaded %q, want only the intact record", got)
	}
}

func TestDiskID(t *testing.T) {
	for name, x := range map[string]struct {
		corrupt func(d string) error
		same    bool
	}{
		"the same disk":     {corrupt: func(string) error { return nil }, same: true},
		"a wiped disk":      {corrupt: func(d string) error { return os.Remove(filepath.Join(d, diskIDFile)) }},
		"a torn identifier": {corrupt: func(d string) error { return os.Truncate(filepath.Join(d, diskIDFile), 5) }},
	} {
		t.Run(name, func(t *testing.T) {
			d := t.TempDir()
			a := open(t, d).DiskID()
			if err := x.corrupt(d); err != nil {
				t.Fatal(err)
			}
			b := open(t, d).DiskID()
			if (a == b) != x.same || len(b) != 32 || b != open(t, d).DiskID() {
				t.Errorf("disk identifier was %s and is %s", a, b)
			}
		})
	}
}

func TestDrop(t *testing.T) {
	l := open(t, t.TempDir())
	for _, i := range []string{"a/b", "c"} {
		if err := l.Append(update(i, 1, 0, i)); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		if err := l.Drop("a/b"); err != nil {
			t.Fatal(err)
		}
	}
	if a, c := texts(t, l, "a/b"), texts(t, l, "c"); a != "" || c != "c" {
		t.Errorf("loaded %q for the dropped lot and %q for the other one", a, c)
	}
	if err := l.Append(update("a/b", 1, 0, "new")); err != nil {
		t.Fatal(err)
	}
	if a := texts(t, l, "a/b"); a != "new" {
		t.Errorf("loaded %q after the lot was created again", a)
	}
}

// TestZeroTail checks that a tail of zeros, as a power loss can leave it, is not read as a record, and that
// records written after it are read.
func TestZeroTail(t *testing.T) {
	for name, n := range map[string]int{"less than a header": 5, "a header": headerSize, "a header and some": headerSize + 1, "a page": 4096, "a page and some": 4099} {
		t.Run(name, func(t *testing.T) {
			d := t.TempDir()
			l := open(t, d)
			if err := l.Append(update("lot", 1, 0, "a")); err != nil {
				t.Fatal(err)
			}
			f, err := os.OpenFile(l.path("lot"), os.O_APPEND|os.O_WRONLY, fileMode)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.Write(make([]byte, n)); err != nil {
				t.Fatal(err)
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
			l = open(t, d)
			if err := l.Load(func(u bulrushlug.LotUpdate) {
				if u.Lot() != "lot" {
					t.Errorf("loaded an update of lot %q", u.Lot())
				}
			}); err != nil {
				t.Fatal(err)
			}
			if err := l.Append(update("lot", 1, 1, "b")); err != nil {
				t.Fatal(err)
			}
			if s := texts(t, open(t, d), "lot"); s != "ab" {
				t.Errorf("loaded %q", s)
			}
		})
	}
}
