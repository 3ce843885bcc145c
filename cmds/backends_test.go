package cmds

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBackends(t *testing.T) {
	for name, x := range map[string]struct {
		status int
		body   string
		args   []string
		want   string
		err    string
	}{
		"two servers": {status: 200, body: "SERVER\tGETS NOTHING\nb0\tevacuated\n", want: "SERVER  GETS NOTHING\nb0      evacuated\n"},
		"an error":    {status: 404, err: "404"},
		"no address":  {args: []string{}, err: "expected exactly one argument"},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(x.status)
				_, _ = io.WriteString(w, x.body)
			}))
			defer s.Close()
			if x.args == nil {
				x.args = []string{strings.TrimPrefix(s.URL, "http://")}
			}
			m := New()
			var w strings.Builder
			m.Writer = &w
			err := m.Run(t.Context(), append([]string{"bulrushlug", "backends"}, x.args...))
			if x.err != "" {
				if err == nil || !strings.Contains(err.Error(), x.err) {
					t.Errorf("error %v", err)
				}
				return
			}
			if err != nil || w.String() != x.want {
				t.Errorf("output %q, error %v", w.String(), err)
			}
		})
	}
}
