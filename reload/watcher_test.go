package reload

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestPoll(t *testing.T) {
	for name, x := range map[string]struct {
		change func(p string) error
		read   string // Content passed to onChange; empty if it is not called.
		failed bool
	}{
		"no change":        {change: func(string) error { return nil }},
		"new content":      {change: func(p string) error { return os.WriteFile(p, []byte("new"), 0o600) }, read: "new"},
		"same content":     {change: func(p string) error { return os.WriteFile(p, []byte("old"), 0o600) }},
		"rejected content": {change: func(p string) error { return os.WriteFile(p, []byte("bad"), 0o600) }, read: "bad", failed: true},
		"file removed":     {change: os.Remove, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := filepath.Join(t.TempDir(), "f")
			if err := os.WriteFile(p, []byte("old"), 0o600); err != nil {
				t.Fatal(err)
			}
			w, err := New(p)
			if err != nil {
				t.Fatal(err)
			}
			if err := x.change(p); err != nil {
				t.Fatal(err)
			}
			got := ""
			err = w.poll(func(b []byte) error {
				if got = string(b); got == "bad" {
					return errors.New("bad")
				}
				return nil
			})
			if got != x.read || (err != nil) != x.failed {
				t.Errorf("onChange got %q, error %v", got, err)
			}
		})
	}
}
