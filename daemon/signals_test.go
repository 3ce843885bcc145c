package daemon

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	slowEvents   = 20                     // Events of each slow response.
	slowInterval = 100 * time.Millisecond // Time between two of them.
	slowRequests = 8                      // Slow requests at the same time.
)

// slowServer is a backend server whose responses take slowEvents intervals.
type slowServer struct{ started atomic.Int32 }

func (s *slowServer) serve(t *testing.T) string { return serveHTTP(t, "127.0.0.1:0", s) }

func (s *slowServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Stamp", "slow")
	w.Header().Set("Content-Type", "text/event-stream")
	s.started.Add(1)
	for n := 1; n <= slowEvents; n++ {
		if bulrushlug.Sleep(r.Context(), slowInterval) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// changeSettings appends a line feed to the settings file of p.
func (p *childProcess) changeSettings(t *testing.T) {
	f, err := os.OpenFile(p.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = f.Close() }()
	if _, err := f.WriteString("\n"); err != nil {
		t.Error(err)
	}
}

// logged reports whether p has logged x.
func (p *childProcess) logged(x string) bool {
	b, err := os.ReadFile(p.log)
	return err == nil && bytes.Contains(b, []byte(x))
}

// TestSignalsWhileStopping guards against a process that a second signal ends while it finishes its requests: a planned stop cuts
// none of them, whatever else the platform says meanwhile.
func TestSignalsWhileStopping(t *testing.T) {
	const term, hup = syscall.SIGTERM, syscall.SIGHUP
	binary := buildProgram(t)
	for name, x := range map[string]struct {
		signals []syscall.Signal
		gap     time.Duration // Time between two signals; the settings change before each SIGHUP.
		between func(t *testing.T, p *childProcess)
	}{
		"a stop":                                   {signals: []syscall.Signal{term}},
		"settings change during a stop":            {signals: []syscall.Signal{term, hup}, gap: 500 * time.Millisecond},
		"settings change again and again":          {signals: []syscall.Signal{hup, term, hup, hup, hup}, gap: 300 * time.Millisecond},
		"settings change as the stop begins":       {signals: []syscall.Signal{hup, term, hup, hup}},
		"the stop is said again":                   {signals: []syscall.Signal{term, term, hup, term}, gap: 300 * time.Millisecond},
		"the settings file changes without signal": {signals: []syscall.Signal{term}, between: func(t *testing.T, p *childProcess) { p.changeSettings(t) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &slowServer{}
			s := newFloodSystem(t, binary, server, "", "")
			var w sync.WaitGroup
			for i := range slowRequests {
				w.Go(func() {
					if n, b := s.call(t.Context(), "POST", "/flood/x", fmt.Sprint("r", i), ""); n != http.StatusOK || strings.Count(b, "\n\n") != slowEvents {
						t.Errorf("request %d got status %d and %d of %d events", i, n, strings.Count(b, "\n\n"), slowEvents)
					}
				})
			}
			for begun := time.Now(); server.started.Load() < slowRequests; time.Sleep(5 * time.Millisecond) {
				if time.Since(begun) > waitTimeout {
					t.Fatal("the requests do not reach the server")
				}
			}
			p := s.processes["e0"]
			for _, g := range x.signals {
				if g == hup {
					p.changeSettings(t)
				}
				p.signal(g)
				time.Sleep(x.gap)
			}
			if x.between != nil {
				x.between(t, p)
			}
			w.Wait()
		})
	}
}

// TestSettingsChangeDuringStart guards against a change of the settings that ends a process which is starting, or that it misses:
// the process has read its settings, and they change before it serves.
func TestSettingsChangeDuringStart(t *testing.T) {
	binary := buildProgram(t)
	for name, signalled := range map[string]bool{"with SIGHUP": true, "without a signal": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFloodSystem(t, binary, &slowServer{}, "", "")
			p := s.processes["e0"]
			p.signal(syscall.SIGKILL)
			p.waitStopped(waitTimeout)
			old, file := p.settings, p.settings+".new"
			b, err := os.ReadFile(old)
			if err != nil {
				t.Fatal(err)
			}
			// The process reads its settings from a pipe, which holds it there, and later from the file that has taken the pipe's place.
			if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(old); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(old, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := p.start(binary, func() {}); err != nil {
				t.Fatal(err)
			}
			pipe, err := os.OpenFile(old, os.O_WRONLY, 0) // Waits for the process.
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(file, old); err != nil {
				t.Fatal(err)
			}
			if signalled {
				p.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
			if _, err := pipe.Write(b); err != nil {
				t.Fatal(err)
			}
			_ = pipe.Close()
			for begun := time.Now(); !p.logged("event=reload"); time.Sleep(20 * time.Millisecond) {
				if time.Since(begun) > waitTimeout {
					t.Fatal("the process has not read the changed settings")
				}
			}
			if n, _ := s.call(t.Context(), "POST", "/ask/x", "after", "body"); n != http.StatusOK {
				t.Errorf("a request got status %d", n)
			}
		})
	}
}
