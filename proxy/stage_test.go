package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

type noRecorder struct{}

func (noRecorder) Record(bulrushlug.Event) {}

// noDetector suspects no prompt.
type noDetector struct{}

func (noDetector) Check(bulrushlug.Prompt) error { return nil }
func (noDetector) RecordBegun(bulrushlug.Prompt) {}
func (noDetector) RecordBroken(context.Context, bulrushlug.Backend, bulrushlug.Prompt) bool {
	return false
}
func (noDetector) RecordEnded(context.Context, bulrushlug.Backend) bool { return false }

// step is the behaviour of one server for one request.
type step struct {
	err    bulrushlug.Kind // Kind of the failure before a response; KindInternal, the zero value, means none.
	status int
	text   bool // The response is not a stream.
	events int  // Whole events sent.
	half   bool // An incomplete event follows.
	broken bool // The connection breaks during the response.
	after  int  // Events that the response begins after, instead of the one that was asked for; zero for none, -1 for that.
	lost   int  // Event that is missing; zero for none.
	twice  int  // Event that comes twice; zero for none.
	empty  bool // A response from the start has no events.
	bare   bool // The response is not framed.
	ends   bool // The server ends with its connection.
}

const eventCount = 4 // Events of a complete response.

var steps = map[string]step{
	"ok":                     {status: 200, events: eventCount},
	"refused connection":     {err: bulrushlug.KindUnplaceable},
	"full":                   {err: bulrushlug.KindOverloaded},
	"another server there":   {err: bulrushlug.KindMisdirected},
	"reset":                  {err: bulrushlug.KindUncertain},
	"broken before an event": {status: 200, broken: true},
	"broken after an event":  {status: 200, events: 1, broken: true},
	"broken in an event":     {status: 200, events: 2, half: true, broken: true},
	"failed":                 {status: 500, text: true},
	"failed and broken":      {status: 500, text: true, broken: true},
	"not found":              {status: 404, text: true},
	"moved":                  {status: 307, text: true},
	"no content":             {status: 204, text: true},
	"text":                   {status: 200, text: true},
	"failed as a stream":     {status: 500, events: 1},
	"no event":               {status: 200, events: eventCount, empty: true},
	"from the start":         {status: 200, events: eventCount, after: -1},
	"from a later event":     {status: 200, events: eventCount, after: 2},
	"an event lost":          {status: 200, events: eventCount, lost: 3},
	"an event twice":         {status: 200, events: eventCount, twice: 2},
	"broken after two":       {status: 200, events: 2, broken: true},
}

// servers is a fake client of the backend servers.
type servers struct {
	steps []step
	calls int
	ran   int
	asked []uint64 // Event after which each request resumes.
	had   []uint64 // Events that the caller had at each request.
	of    *caller  // The caller; nil if its events are not counted.
}

func (v *servers) Call(_ context.Context, _ bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	s := v.steps[min(v.calls, len(v.steps)-1)]
	v.calls++
	if s.err != bulrushlug.KindInternal {
		if s.err.Response().MayHaveRun() {
			v.ran++
		}
		return nil, bulrushlug.Errorf(s.err, "step")
	}
	v.ran++
	v.asked = append(v.asked, r.ResumeFrom())
	if v.of != nil {
		v.had = append(v.had, uint64(strings.Count(v.of.data, "\n\n")))
	}
	var b strings.Builder
	first := int(r.ResumeFrom()) + 1
	if s.after != 0 {
		first = max(0, s.after) + 1
	}
	if s.empty && r.ResumeFrom() == 0 {
		s.events = 0
	}
	for n := first; n < first+s.events && n <= eventCount; n++ {
		e := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
		switch n {
		case s.lost:
			continue
		case s.twice:
			e += e
		}
		b.WriteString(e)
	}
	if s.half {
		b.WriteString("id: 9\nda")
	}
	if s.text {
		b.WriteString("it failed")
	}
	end := io.EOF
	if s.broken {
		end = errors.New("connection reset")
	}
	t := "text/event-stream"
	if s.text {
		t = "text/plain"
	}
	return &reply{status: s.status, contentType: t, in: io.MultiReader(strings.NewReader(b.String()), errReader{end}), bare: s.bare}, nil
}

type errReader struct{ err error }

func (f errReader) Read([]byte) (int, error) { return 0, f.err }

type reply struct {
	status      int
	contentType string
	in          io.Reader
	bare        bool
}

func (p *reply) Status() int { return p.status }

func (p *reply) Fields() []bulrushlug.Field {
	return []bulrushlug.Field{bulrushlug.NewField("Content-Type", p.contentType)}
}

func (p *reply) Read(b []byte) (int, error) { return p.in.Read(b) }

func (p *reply) Framed() bool { return !p.bare }

func (p *reply) Close() {}

// caller records the response that a caller receives.
type caller struct {
	status      int
	contentType string
	heads       int
	data        string
}

func (k *caller) Head(n int, t string) error {
	k.status, k.contentType = n, t
	k.heads++
	return nil
}

func (k *caller) Write(p []byte) error {
	k.data += string(p)
	return nil
}

func table() *slots.Table {
	t := slots.New("e", func() []string { return nil })
	var l []bulrushlug.Backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		l = append(l, bulrushlug.NewBackend(id, "s", "10.0.0.1:80", bulrushlug.BackendZoneSlots("z", 8)))
	}
	t.Update(l)
	return t
}

func TestFailurePoints(t *testing.T) {
	whole := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	for first, a := range steps {
		for second, b := range steps {
			for mode, route := range map[string]bulrushlug.Route{
				"resumable":      bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, true), bulrushlug.RouteLimits(2, 0, time.Second)),
				"not resumable":  bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, false), bulrushlug.RouteLimits(2, 0, time.Second)),
				"idempotent":     bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficCall, true, false), bulrushlug.RouteLimits(2, 0, time.Second)),
				"not idempotent": bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficCall, false, false), bulrushlug.RouteLimits(2, 0, time.Second)),
			} {
				t.Run(first+", then "+second+"/"+mode, func(t *testing.T) {
					k := &caller{}
					v := &servers{steps: []step{a, b, steps["ok"]}, of: k}
					r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(time.Second)))
					x := table()
					err := New(x, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).Run(t.Context(), r, k)
					check(t, v, r, k, err, whole)
					if n := len(x.Usages()); n != 0 {
						t.Errorf("%d servers still have requests", n)
					}
				})
			}
		}
	}
}

func check(t *testing.T, v *servers, r *bulrushlug.Request, k *caller, err error, whole string) {
	t.Helper()
	if !r.Idempotent() && v.ran > 1 || v.ran > 2 {
		t.Errorf("ran %d times", v.ran)
	}
	if err != nil && !bulrushlug.KindOf(err).Response().MayHaveRun() && v.ran > 0 {
		t.Errorf("%v says that the request did not run, but it may have", err)
	}
	if !slices.Equal(v.asked, v.had) {
		t.Errorf("the streams resumed after %v, the caller had %v events", v.asked, v.had)
	}
	if k.heads > 1 {
		t.Errorf("%d heads", k.heads)
	}
	isStream := k.contentType == "text/event-stream"
	if isStream && (!strings.HasPrefix(whole, k.data) || strings.Count(k.data, "\n\n")*len("id: 1\ndata: 1\n\n") != len(k.data)) || !isStream && k.data != "" && k.data != "it failed" {
		t.Errorf("the caller got %q", k.data)
	}
	if err == nil && k.status == 200 && isStream && k.data != whole {
		t.Errorf("a response without an error is incomplete: %q", k.data)
	}
	if err == nil && k.heads == 0 {
		t.Error("success without a response")
	}
	if v.ran == 0 && v.calls < maxServers && err != nil {
		t.Errorf("no retry after %d of %d servers: %v", v.calls, maxServers, err)
	}
}

func TestCapacity(t *testing.T) {
	for name, x := range map[string]struct {
		servers  []bulrushlug.Backend
		load     uint32
		kind     bulrushlug.Kind
		batch    uint32
		notified int // Calls of notify with the process that has batch items there.
	}{
		"no server":                    {kind: bulrushlug.KindOverloaded},
		"all full":                     {servers: []bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))}, load: 10, kind: bulrushlug.KindOverloaded},
		"full of batch items":          {servers: []bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))}, batch: 8, notified: 1},
		"batch items and an idle slot": {servers: []bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))}, batch: 7, notified: 1},
		"no batch items":               {servers: []bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))}, load: 7},
	} {
		t.Run(name, func(t *testing.T) {
			b := slots.New("e", func() []string { return nil })
			b.Update(x.servers)
			b.UpdateRemote("d", []bulrushlug.Usage{bulrushlug.NewUsage("a", x.load, x.batch)})
			notified := 0
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)))
			v := &servers{steps: []step{steps["ok"]}}
			err := New(b, v, noRecorder{}, func(vms []string) {
				if len(vms) == 0 {
					return
				}
				if !slices.Equal(vms, []string{"d"}) {
					t.Errorf("notified %v", vms)
				}
				notified++
			}, noDetector{}, memory.New(1<<30)).Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithTarget(route)), &caller{})
			if notified != x.notified || (err != nil) != (x.kind != bulrushlug.KindInternal) {
				t.Errorf("notified %d times, error %v", notified, err)
			}
			if err != nil && (bulrushlug.KindOf(err) != x.kind || bulrushlug.RetryAfterOf(err) == 0) {
				t.Errorf("error %v, retry after %v", err, bulrushlug.RetryAfterOf(err))
			}
		})
	}
}

func TestShares(t *testing.T) {
	for name, x := range map[string]struct {
		shares []bulrushlug.Share
		want   map[string]bool
	}{
		"one service":      {shares: []bulrushlug.Share{bulrushlug.NewShare("a", 1)}, want: map[string]bool{"a": true}},
		"two services":     {shares: []bulrushlug.Share{bulrushlug.NewShare("a", 1), bulrushlug.NewShare("b", 3)}, want: map[string]bool{"a": true, "b": true}},
		"a weight of zero": {shares: []bulrushlug.Share{bulrushlug.NewShare("a", 0), bulrushlug.NewShare("b", 1)}, want: map[string]bool{"b": true}},
		"no shares at all": {want: map[string]bool{"r": true}},
	} {
		t.Run(name, func(t *testing.T) {
			got := map[string]bool{}
			for range 200 {
				got[pickService(bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(x.shares...)))] = true
			}
			if fmt.Sprint(got) != fmt.Sprint(x.want) {
				t.Errorf("services picked: %v", got)
			}
		})
	}
}

// paced is a set of servers whose first stream sends the parts with a pause before each, and then nothing.
type paced struct {
	*servers
	parts []string
	pause time.Duration
	calls int
}

func (v *paced) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	if v.calls++; v.calls > 1 {
		return v.servers.Call(c, b, r)
	}
	p, w := io.Pipe()
	go func() {
		for _, s := range v.parts {
			if bulrushlug.Sleep(c, v.pause) != nil {
				break
			}
			_, _ = io.WriteString(w, s)
			if s == "end" {
				_ = w.Close()
				return
			}
		}
		<-c.Done()
		_ = w.CloseWithError(c.Err())
	}()
	return &reply{status: 200, contentType: "text/event-stream", in: p}, nil
}

// TestStalledStream has streams that are slow, and streams that send bytes but no events.
func TestStalledStream(t *testing.T) {
	events := []string{"id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n", "id: 3\ndata: 3\n\n", "id: 4\ndata: 4\n\n"}
	whole := strings.Join(events, "")
	for name, x := range map[string]struct {
		parts     []string
		pause     time.Duration
		gap       time.Duration // Longest pause that the route allows.
		resumable bool
		slow      time.Duration // Time that the caller takes for each event.
		want      string        // What the caller gets.
		calls     int           // Servers asked.
		ok        bool
		within    time.Duration
	}{
		"slow but sound":             {parts: append(events[:4:4], ""), pause: 1900 * time.Millisecond, resumable: true, want: whole, calls: 2, ok: true, within: 12 * time.Second},
		"slow within the gap":        {parts: events, pause: 3 * time.Second, gap: 400 * time.Millisecond, resumable: true, want: whole, calls: 2, ok: true, within: 16 * time.Second},
		"stalled":                    {parts: events[:2], pause: time.Millisecond, resumable: true, want: whole, calls: 2, ok: true, within: 2100 * time.Millisecond},
		"stalled with comments":      {parts: append(events[:2:2], comments(100)...), pause: 110 * time.Millisecond, resumable: true, want: events[0] + events[1] + strings.Repeat(": here\n\n", 18) + events[2] + events[3], calls: 2, ok: true, within: 2400 * time.Millisecond},
		"stalled with blank lines":   {parts: append(events[:2:2], strings.Split(strings.Repeat("\n", 100), "")...), pause: 100 * time.Millisecond, resumable: true, want: whole, calls: 2, ok: true, within: 2400 * time.Millisecond},
		"stalled within an event":    {parts: append(events[:2:2], strings.Split("id: 3"+strings.Repeat("x", 100), "")...), pause: 100 * time.Millisecond, resumable: true, want: whole, calls: 2, ok: true, within: 2400 * time.Millisecond},
		"comments before the events": {parts: append(comments(3), events[0]), pause: 100 * time.Millisecond, resumable: true, want: strings.Repeat(": here\n\n", 3) + whole, calls: 2, ok: true, within: 3 * time.Second},
		"stalled, not resumable":     {parts: events[:2], pause: time.Millisecond, want: events[0] + events[1], calls: 1, within: 20 * time.Second},
		"a caller that reads slowly": {parts: events, pause: time.Millisecond, resumable: true, slow: 3 * time.Second, want: whole, calls: 2, ok: true, within: 16 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := &paced{servers: &servers{steps: []step{steps["ok"]}}, parts: x.parts, pause: x.pause}
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTargets(time.Second, x.gap),
					bulrushlug.RouteTraffic(bulrushlug.TrafficStream, x.resumable, x.resumable), bulrushlug.RouteLimits(3, 0, time.Second))
				r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(20*time.Second)))
				k := &slowCaller{pause: x.slow}
				t0 := time.Now()
				err := New(table(), v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).Run(t.Context(), r, k)
				if (err == nil) != x.ok || k.data != x.want || v.calls != x.calls || time.Since(t0) > x.within {
					t.Errorf("%v after %v at %d servers, the caller got %q", err, time.Since(t0), v.calls, k.data)
				}
			})
		})
	}
}

func comments(n int) (l []string) {
	for range n {
		l = append(l, ": here\n\n")
	}
	return l
}

// slowCaller takes a while for each part of a response.
type slowCaller struct {
	caller
	pause time.Duration
}

func (k *slowCaller) Write(p []byte) error {
	time.Sleep(k.pause)
	return k.caller.Write(p)
}

// silent is a set of servers one of which never answers.
type silent struct {
	*servers
	id string
}

func (v *silent) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	if b.ID() != v.id {
		return v.servers.Call(c, b, r)
	}
	<-c.Done()
	return nil, c.Err()
}

func TestSilentServer(t *testing.T) {
	for name, x := range map[string]struct {
		resumable bool
		ok        bool
		within    time.Duration
	}{
		"retried at another server": {resumable: true, ok: true, within: responseTimeout + 100*time.Millisecond},
		"not retryable":             {within: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := slots.New("e", func() []string { return nil })
				b.Update([]bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8))})
				g := New(b, &silent{&servers{steps: []step{steps["ok"]}}, "a"}, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30))
				route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
					bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, x.resumable), bulrushlug.RouteLimits(2, 0, time.Second))
				r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(3*time.Second)))
				t0 := time.Now()
				done := make(chan error, 1)
				go func() { done <- g.Run(t.Context(), r, &caller{}) }()
				time.Sleep(time.Millisecond)
				b.Update([]bulrushlug.Backend{bulrushlug.NewBackend("a", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8)), bulrushlug.NewBackend("b", "s", "h:2", bulrushlug.BackendZoneSlots("z", 8))})
				time.Sleep(suspectTimeout + time.Millisecond)
				for range 5 {
					if l, _ := b.AcquireOnline("s", nil); l.Backend().ID() == "a" {
						t.Error("a silent server is still chosen")
					}
				}
				err := <-done
				if (err == nil) != x.ok || time.Since(t0) > x.within || err != nil && !bulrushlug.KindOf(err).Response().MayHaveRun() {
					t.Errorf("%v after %v", err, time.Since(t0))
				}
			})
		})
	}
}
