package cmds

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestKeyGive prints a key only if its hash was sent, as nobody could use it otherwise.
func TestKeyGive(t *testing.T) {
	for name, x := range map[string]struct {
		flags []string
		want  bool // A key is printed.
	}{
		"given":   {want: true},
		"dry run": {flags: []string{"--dry-run"}},
	} {
		t.Run(name, func(t *testing.T) {
			sent := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				sent++
				_, _ = w.Write([]byte("{}"))
			}))
			defer s.Close()
			m, b := New(), &bytes.Buffer{}
			m.Writer = b
			l := append([]string{"bulrushlug", "--entry", s.URL}, x.flags...)
			if err := m.Run(context.Background(), append(l, "key", "give", "--org", "o", "k1")); err != nil {
				t.Fatal(err)
			}
			if got := strings.Contains(b.String(), "key sk-"); got != x.want || (sent == 1) != x.want {
				t.Errorf("printed %q, %d commands sent", b, sent)
			}
		})
	}
}
