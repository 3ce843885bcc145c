package conf

import (
	"os"
	"strings"
	"testing"
)

func example(t testing.TB, n string) string {
	b, err := os.ReadFile("../examples/" + n + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestExamples(t *testing.T) {
	for _, n := range []string{"entry", "agent"} {
		s, err := Load("../examples/" + n + ".json")
		if err != nil || s.Role() != n {
			t.Errorf("example %s: %v", n, err)
		}
	}
}

// TestErrorsNameFileLineAndField checks that an error names the file, line and field of an invalid setting.
func TestErrorsNameFileLineAndField(t *testing.T) {
	for name, x := range map[string]struct{ example, old, new, want string }{
		"unknown field":        {"entry", `"role"`, `"rolle": 1, "role"`, `s.json:4: rolle: `},
		"wrong type":           {"entry", `"replicas": 3`, `"replicas": "three"`, `s.json:13: `},
		"no JSON":              {"entry", `"role": "entry"`, `"role" "entry"`, `s.json`},
		"missing field":        {"entry", `"vm": "entry-1",`, ``, `s.json:1: vm: is missing`},
		"unknown role":         {"entry", `"role": "entry"`, `"role": "exit"`, `s.json:4: role: is "exit"`},
		"no host and port":     {"entry", `127.0.0.1:7001`, `7001`, `s.json:7: listen: is not host:port`},
		"host name":            {"entry", `127.0.0.1:7001`, `entry-1:7001`, `s.json:7: listen: needs an IP number`},
		"no URL":               {"entry", `http://127.0.0.1:9001`, `here`, `s.json:10: store: is not a URL`},
		"too many replicas":    {"entry", `"replicas": 3`, `"replicas": 9`, `s.json:13: replicas: is 9, not from 1 to 5`},
		"short secret":         {"entry", `eeff"]`, `ee"]`, `peerSecrets: needs 64 hex digits`},
		"engine of an entry":   {"entry", `"debug"`, `"engine": "http://h:1", "debug"`, `engine: an entry has neither`},
		"agent without engine": {"agent", `"engine": "http://127.0.0.1:9101",`, ``, ``},
		"agent without either": {"agent", `"engine": "http://127.0.0.1:9101", // Model engine; leave out beside plain services only.
	"slots": 0, // Requests that run at once; 0 asks the engine.
	"services": [{"name": "tickets", "url": "http://127.0.0.1:9201"}],`, ``, `engine: an agent needs an engine or services`},
		"incomplete TLS": {"agent", `"slots": 0,`, `"slots": 0, "tls": {"key": "k"},`, `tls: certificate, key and authority`},
	} {
		t.Run(name, func(t *testing.T) {
			s := strings.Replace(example(t, x.example), x.old, x.new, 1)
			if s == example(t, x.example) {
				t.Fatal("the example does not contain the text to replace")
			}
			_, err := Parse("s.json", []byte(s))
			if x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
				t.Errorf("Parse returned %v, want %q", err, x.want)
			}
		})
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(example(f, "entry")))
	f.Add([]byte(example(f, "agent")))
	f.Add([]byte(`{"drainSeconds":4294967296}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse("f", b)
		if (s == nil) == (err == nil) {
			t.Errorf("Parse returned settings %v and error %v", s, err)
		}
	})
}
