package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLateRequestIsAnswered guards against requests that reach a leaving entry late in its grace period, are passed on, and
// are cut at its end without an answer. The grace period is 4 s.
func TestLateRequestIsAnswered(t *testing.T) {
	for name, x := range map[string]struct {
		dial, send time.Duration // When the caller connects, and when the request is complete, from the request to stop on.
		half       bool          // All but the last byte of the request was sent when the caller connected.
		deadline   time.Duration
		event      time.Duration // Time to the first event, the only one.
		status     int
		runs       int
	}{
		"late, may last longer":              {dial: 2200 * time.Millisecond, send: 2900 * time.Millisecond, deadline: 5 * time.Second, event: 10 * time.Second, status: 503},
		"late, ends in time":                 {dial: 2200 * time.Millisecond, send: 2700 * time.Millisecond, deadline: 300 * time.Millisecond, event: 50 * time.Millisecond, status: 200, runs: 1},
		"late, its body was still arriving":  {dial: 2200 * time.Millisecond, half: true, send: 2900 * time.Millisecond, deadline: 5 * time.Second, event: 10 * time.Second, status: 503},
		"at first, under way at the end":     {dial: 100 * time.Millisecond, send: 200 * time.Millisecond, deadline: 10 * time.Second, event: 10 * time.Second, status: 502, runs: 1},
		"at first, could have lasted longer": {dial: 100 * time.Millisecond, send: 200 * time.Millisecond, deadline: 10 * time.Second, event: 50 * time.Millisecond, status: 200, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 1, 1, 1)
			s.backends[0].set(func(b *fakeBackend) { b.eventCount, b.eventInterval = 1, x.event })
			request := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q\r\nX-Api-Key: k1\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", x.deadline.Milliseconds())
			s.entries[0].stop()
			begun := time.Now()
			time.Sleep(time.Until(begun.Add(x.dial)))
			c, err := net.Dial("tcp", s.entries[0].settings["http"])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if x.half {
				_, _ = io.WriteString(c, request[:len(request)-1])
				request = request[len(request)-1:]
			}
			time.Sleep(time.Until(begun.Add(x.send)))
			_, _ = io.WriteString(c, request)
			w, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer %v after the request to stop: %v", time.Since(begun), err)
			}
			if _, err := io.ReadAll(w.Body); err != nil || w.StatusCode != x.status || !w.Close {
				t.Errorf("status %d, %v, closes %v", w.StatusCode, err, w.Close)
			}
			if x.status == 503 && w.Header.Get("Retry-After") == "" {
				t.Error("the rejection names no time to come back")
			}
			s.backends[0].set(func(b *fakeBackend) {
				if b.ran["q"] != x.runs {
					t.Errorf("%d runs", b.ran["q"])
				}
			})
		})
	}
}
