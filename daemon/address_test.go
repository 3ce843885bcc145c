package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestAddressInUse guards against a process that never answers probes as another program had their address when it started.
func TestAddressInUse(t *testing.T) {
	for name, x := range map[string]struct{ setting, path string }{
		"readiness": {setting: "ready", path: "/readyz"},
		"metrics":   {setting: "metrics", path: "/metrics"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1, 1, 1)
			a := freeAddress()
			l, err := net.Listen("tcp", a)
			if err != nil {
				t.Fatal(err)
			}
			m := map[string]string{"vm": "e9", "zone": "z0", "role": "entry", "http": freeAddress(), "ready": freeAddress()}
			m[x.setting] = a
			s.start(m)
			time.Sleep(time.Second)
			_ = l.Close()
			s.waitUntil("it answers probes", func() bool {
				w, err := http.Get("http://" + a + x.path)
				if err != nil {
					return false
				}
				_ = w.Body.Close()
				return w.StatusCode == http.StatusOK
			})
		})
	}
}
