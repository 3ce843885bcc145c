package issuer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestNew creates an authority in a folder that may have one: its certificate is not overwritten.
func TestNew(t *testing.T) {
	for name, x := range map[string]struct {
		before bool
		ok     bool
	}{
		"an empty folder":            {ok: true},
		"a folder with an authority": {before: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := t.TempDir()
			p := filepath.Join(d, "ca.pem")
			if x.before {
				if err := os.WriteFile(p, []byte("the first"), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			a, err := New(d)
			if (err == nil) != x.ok {
				t.Errorf("error %v", err)
			}
			b, e := os.ReadFile(p)
			if e != nil || x.before != bytes.Equal(b, []byte("the first")) {
				t.Errorf("ca.pem is %q, error %v", b, e)
			}
			if err != nil {
				return
			}
			for range 2 { // Certificates of processes are renewed in place.
				if err := a.Issue("vm"); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
