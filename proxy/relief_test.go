package proxy

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	relievedEvents = 6                      // Events of a complete response.
	maxOverlap     = 400 * time.Millisecond // Longest time for which a server may work on after another one goes on.
)

// part is what a server does in one run.
type part struct {
	refused bulrushlug.Kind // Kind of the failure before a response; zero for none.
	before  time.Duration   // Time before the head.
	events  int             // Events before the pause; all if it is zero.
	pause   time.Duration   // Pause after them.
	broken  bool            // The response breaks off after the pause.
	status  int             // Of a response that is no stream; zero for a stream.
	panics  bool            // The call panics.
}

// run is one run of the request.
type run struct{ first, end time.Time } // When its first event was sent, and when it ended.

// actors is a set of servers each of which plays the next part.
type actors struct {
	mu    sync.Mutex
	parts []part
	runs  []*run
}

func (v *actors) Call(c context.Context, _ bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.mu.Lock()
	if len(v.parts) == 0 {
		v.mu.Unlock()
		return nil, bulrushlug.Errorf(bulrushlug.KindOverloaded, "no part is left")
	}
	x := v.parts[0]
	v.parts = v.parts[1:]
	if x.refused != bulrushlug.KindInternal {
		v.mu.Unlock()
		return nil, bulrushlug.Errorf(x.refused, "refused")
	}
	m := &run{}
	v.runs = append(v.runs, m)
	v.mu.Unlock()
	if x.panics {
		v.end(m)
		panic("an unexpected error")
	}
	if bulrushlug.Sleep(c, x.before) != nil {
		v.end(m)
		return nil, c.Err()
	}
	if x.status != 0 {
		v.end(m)
		return &reply{status: x.status, contentType: "text/plain", in: strings.NewReader("it failed")}, nil
	}
	p, w := io.Pipe()
	context.AfterFunc(c, func() { _ = w.CloseWithError(c.Err()) })
	from := r.ResumeFrom() + 1
	go func() {
		defer v.end(m)
		for n := from; n <= relievedEvents; n++ {
			if x.events > 0 && n == from+uint64(x.events) {
				if bulrushlug.Sleep(c, x.pause) != nil {
					return
				}
				if x.broken {
					_ = w.CloseWithError(io.ErrUnexpectedEOF)
					return
				}
			}
			v.begin(m)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n); err != nil || bulrushlug.Sleep(c, 10*time.Millisecond) != nil {
				return
			}
		}
		_ = w.Close()
	}()
	return &pipeReply{p}, nil
}

func (v *actors) begin(m *run) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m.first.IsZero() {
		m.first = time.Now()
	}
}

func (v *actors) end(m *run) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m.end = time.Now()
}

// TestSilenceEndsNoResponse guards against streams that a process ends although their server only pauses: it cut them to resume
// elsewhere, and then found no server that would.
func TestSilenceEndsNoResponse(t *testing.T) {
	const pause = 4 * time.Second
	paused := part{events: 2, pause: pause}
	forever := part{before: time.Hour}
	for name, x := range map[string]struct {
		parts    []part
		attempts int           // That the route allows; 3 if it is zero.
		servers  int           // 5 if it is zero.
		runs     int           // That were begun.
		within   time.Duration // Of the whole response.
	}{
		"no other server":                       {parts: []part{paused}, servers: 1, runs: 1, within: 5 * time.Second},
		"another server goes on":                {parts: []part{paused, {}}, runs: 2, within: 3 * time.Second},
		"another server begins late":            {parts: []part{paused, {before: time.Second}}, runs: 2, within: 4 * time.Second},
		"the first is back before the other":    {parts: []part{paused, forever}, runs: 2, within: 5 * time.Second},
		"others are full":                       {parts: []part{paused, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}}, runs: 1, within: 5 * time.Second},
		"others have ended":                     {parts: []part{paused, {refused: bulrushlug.KindUnplaceable}, {refused: bulrushlug.KindUnplaceable}, {refused: bulrushlug.KindUnplaceable}, {refused: bulrushlug.KindUnplaceable}}, runs: 1, within: 5 * time.Second},
		"others are other servers now":          {parts: []part{paused, {refused: bulrushlug.KindMisdirected}, {refused: bulrushlug.KindMisdirected}, {refused: bulrushlug.KindMisdirected}}, runs: 1, within: 5 * time.Second},
		"the last of the others goes on":        {parts: []part{paused, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindUnplaceable}, {refused: bulrushlug.KindMisdirected}, {}}, runs: 2, within: 3 * time.Second},
		"another server resets":                 {parts: []part{paused, {refused: bulrushlug.KindUncertain}}, attempts: 2, runs: 1, within: 5 * time.Second},
		"another server fails":                  {parts: []part{paused, {status: 500}}, attempts: 2, runs: 2, within: 5 * time.Second},
		"another server has no such stream":     {parts: []part{paused, {status: 404}}, attempts: 2, runs: 2, within: 5 * time.Second},
		"another server fails, a third goes on": {parts: []part{paused, {status: 500}, {}}, runs: 3, within: 3 * time.Second},
		"an unexpected error":                   {parts: []part{paused, {panics: true}}, runs: 2, within: 5 * time.Second},
		"a single attempt":                      {parts: []part{paused, {}}, attempts: 1, runs: 1, within: 5 * time.Second},
		"two pause, one after the other":        {parts: []part{paused, {events: 2, pause: pause}, {}}, runs: 3, within: 6 * time.Second},
		"both of two attempts pause":            {parts: []part{paused, {events: 2, pause: pause}, {}}, attempts: 2, runs: 2, within: 8 * time.Second},
		"another breaks off, a third goes on":   {parts: []part{paused, {events: 1, broken: true}, {}}, runs: 3, within: 4 * time.Second},
		"before its head, others are full":      {parts: []part{{before: pause}, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}, {refused: bulrushlug.KindOverloaded}}, runs: 1, within: 5 * time.Second},
		"before its head, another one resets":   {parts: []part{{before: pause}, {refused: bulrushlug.KindUncertain}}, attempts: 2, runs: 1, within: 5 * time.Second},
		"before its head, another one answers":  {parts: []part{{before: pause}, {}}, runs: 2, within: 2 * time.Second},
		"no pause":                              {parts: []part{{before: time.Millisecond, events: 0, pause: 0}}, runs: 1, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := slots.New("e", func() []string { return nil })
				var l []bulrushlug.Backend
				if x.servers == 0 {
					x.servers = 5
				}
				for i := range x.servers {
					l = append(l, bulrushlug.NewBackend(fmt.Sprint("b", i), "s", fmt.Sprintf("h%d:1", i), bulrushlug.BackendZoneSlots("z", 8)))
				}
				b.Update(l)
				v := &actors{parts: x.parts}
				if x.attempts == 0 {
					x.attempts = 3
				}
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
					bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true), bulrushlug.RouteLimits(x.attempts, 0, time.Second))
				k := &caller{}
				begun := time.Now()
				c, stop := context.WithCancel(t.Context())
				defer stop()
				err := New(b, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).WithGuard(guard.New(log.NewNopLogger())).
					Run(c, bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(begun.Add(20*time.Second))), k)
				if d := time.Since(begun); err != nil || d > x.within {
					t.Errorf("%v after %v, want none within %v", err, d, x.within)
				}
				whole := ""
				for n := 1; n <= relievedEvents; n++ {
					whole += fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
				}
				if k.data != whole {
					t.Errorf("the caller got %q", k.data)
				}
				synctest.Wait()
				if len(v.runs) != x.runs {
					t.Errorf("%d runs, want %d", len(v.runs), x.runs)
				}
				for i, m := range v.runs {
					if m.end.IsZero() {
						t.Errorf("run %d goes on after the response", i)
					}
					for _, later := range v.runs[i+1:] {
						if !later.first.IsZero() && m.end.Sub(later.first) > maxOverlap {
							t.Errorf("run %d went on for %v after the next one", i, m.end.Sub(later.first))
						}
					}
				}
				if n := len(b.Usages()); n != 0 {
					t.Errorf("%d servers still have requests", n)
				}
			})
		})
	}
}
