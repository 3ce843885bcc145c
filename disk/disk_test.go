package disk

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestCrashAtAnyByte guards against incomplete chunks after a crash: it cuts off a write at each byte and reopens the
// store.
func TestCrashAtAnyByte(t *testing.T) {
	d := t.TempDir()
	v, err := New(d)
	if err != nil {
		t.Fatal(err)
	}
	p := []byte("a chunk with some lines\n")
	if err := v.Put("f", 1, p); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(d, "chunks", "f", "00000001"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		left := filepath.Join(d, "chunks", "f", "00000002"+tempSuffix+"123")
		if err := os.WriteFile(left, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if v, err = New(d); err != nil {
			t.Fatal(err)
		}
		if _, err := v.Get("f", 2); bulrushlug.KindOf(err) != bulrushlug.KindNotFound {
			t.Errorf("byte %d: an incomplete chunk gives %v", n, err)
		}
		if b, err := v.Get("f", 1); err != nil || !bytes.Equal(b, p) {
			t.Errorf("byte %d: Get of the complete chunk: %q, %v", n, b, err)
		}
		if _, err := os.Stat(left); err == nil {
			t.Errorf("byte %d: the temporary file was not removed", n)
		}
	}
}

func TestCorruption(t *testing.T) {
	for name, x := range map[string]struct {
		damage func(k string) error
		kind   bulrushlug.Kind
	}{
		"one bit":      {damage: func(k string) error { return flip(k, 12) }, kind: bulrushlug.KindStorage},
		"header":       {damage: func(k string) error { return flip(k, 0) }, kind: bulrushlug.KindStorage},
		"truncated":    {damage: func(k string) error { return os.Truncate(k, 10) }, kind: bulrushlug.KindStorage},
		"empty":        {damage: func(k string) error { return os.Truncate(k, 0) }, kind: bulrushlug.KindStorage},
		"removed":      {damage: os.Remove, kind: bulrushlug.KindNotFound},
		"no directory": {damage: func(k string) error { return os.RemoveAll(filepath.Dir(filepath.Dir(k))) }, kind: bulrushlug.KindNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			d := t.TempDir()
			v, err := New(d)
			if err == nil {
				err = v.Put("f", 3, []byte("some bytes that matter"))
			}
			if err == nil {
				err = x.damage(filepath.Join(d, "chunks", "f", "00000003"))
			}
			if err != nil {
				t.Fatal(err)
			}
			if _, err := v.Get("f", 3); bulrushlug.KindOf(err) != x.kind {
				t.Errorf("Get: %v", err)
			}
		})
	}
}

func flip(k string, n int) error {
	b, err := os.ReadFile(k)
	if err != nil {
		return err
	}
	b[n] ^= 1
	return os.WriteFile(k, b, 0o600)
}

func TestInvalidNames(t *testing.T) {
	v, err := New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []string{"", "..", "a/b", "../../etc", "a b", "ä"} {
		if err := v.Put(n, 1, nil); bulrushlug.KindOf(err) != bulrushlug.KindBadRequest {
			t.Errorf("Put with file name %q: %v", n, err)
		}
	}
	if _, err := New("/dev/null/folder"); bulrushlug.KindOf(err) != bulrushlug.KindStorage {
		t.Errorf("a directory that can't be created: %v", err)
	}
}

// TestDropWhilePutting drops the only chunk of a file, and so its directory, while the next chunk is written.
func TestDropWhilePutting(t *testing.T) {
	v, err := New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(t.Context())
	var w sync.WaitGroup
	w.Go(func() {
		for c.Err() == nil {
			if err := v.Drop("f", 1); err != nil {
				t.Error(err)
			}
		}
	})
	defer w.Wait()
	defer stop()
	for n := uint32(2); n < 500; n++ {
		if err := v.Put("f", n, []byte("a")); err != nil {
			t.Fatalf("chunk %d: %v", n, err)
		}
		if err := v.Drop("f", n); err != nil {
			t.Fatal(err)
		}
	}
}
