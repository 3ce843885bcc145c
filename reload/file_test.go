package reload

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestLook(t *testing.T) {
	for name, x := range map[string]struct {
		change func(p string) error
		read   string // Content that is handed on; empty for none.
		failed bool
	}{
		"no change":     {change: func(string) error { return nil }},
		"another text":  {change: func(p string) error { return os.WriteFile(p, []byte("new"), 0o600) }, read: "new"},
		"the same text": {change: func(p string) error { return os.WriteFile(p, []byte("old"), 0o600) }},
		"a bad text":    {change: func(p string) error { return os.WriteFile(p, []byte("bad"), 0o600) }, read: "bad", failed: true},
		"no file":       {change: os.Remove, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := filepath.Join(t.TempDir(), "f")
			if err := os.WriteFile(p, []byte("old"), 0o600); err != nil {
				t.Fatal(err)
			}
			got, failed := "", false
			f := New(p, func(b []byte) error {
				if got = string(b); got == "bad" {
					return errors.New("bad")
				}
				return nil
			}, func(error) { failed = true })
			if err := x.change(p); err != nil {
				t.Fatal(err)
			}
			f.look()
			if got != x.read || failed != x.failed {
				t.Errorf("read %q, failed %v", got, failed)
			}
		})
	}
}
