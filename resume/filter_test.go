package resume

import (
	"context"
	"expvar"
	"fmt"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// step is the outcome of one attempt at the engine.
type step struct {
	err         bulrushlug.Kind // Kind of the failure before a response; KindInternal, the zero value, means none.
	status      int
	contentType string
	body        string // Body that is not a stream.
	events      int    // Events of a stream after the one that it resumes after.
	broken      bool
}

const (
	eventStream = "text/event-stream"
	eventCount  = 4 // Events of a whole stream.
)

// engine is a fake engine.
type engine struct {
	steps []step
	calls int
}

func (e *engine) Run(_ context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	x := e.steps[min(e.calls, len(e.steps)-1)]
	e.calls++
	if x.err != bulrushlug.KindInternal {
		return bulrushlug.Errorf(x.err, "engine: connection refused")
	}
	if x.status >= 500 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "engine: status %d", x.status)
	}
	if err := s.Head(x.status, x.contentType); err != nil {
		return err
	}
	if x.body != "" {
		return s.Write([]byte(x.body))
	}
	for n := r.ResumeFrom() + 1; n <= min(eventCount, r.ResumeFrom()+uint64(x.events)); n++ {
		if err := s.Write(fmt.Appendf(nil, "data: %d\n\n", n)); err != nil {
			return err
		}
	}
	if x.broken {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "engine: connection reset")
	}
	return nil
}

// caller records the response that a caller receives.
type caller struct {
	status int
	heads  int
	data   strings.Builder
}

func (k *caller) Head(n int, _ string) error {
	k.status = n
	k.heads++
	return nil
}

func (k *caller) Write(p []byte) error {
	_, err := k.data.Write(p)
	return err
}

// TestErrorWithinStream breaks a stream, and has the engine answer its resumption in other ways.
func TestErrorWithinStream(t *testing.T) {
	broken := step{status: 200, contentType: eventStream, events: 2, broken: true}
	whole := step{status: 200, contentType: eventStream, events: eventCount}
	const half, all = "data: 1\n\ndata: 2\n\n", "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: 4\n\n"
	for name, x := range map[string]struct {
		steps []step
		want  string
		calls int
		ok    bool
	}{
		"not broken":              {steps: []step{whole}, want: all, calls: 1, ok: true},
		"resumed":                 {steps: []step{broken, whole}, want: all, calls: 2, ok: true},
		"broken twice":            {steps: []step{broken, broken, whole}, want: all, calls: 3, ok: true},
		"always broken":           {steps: []step{broken, {status: 200, contentType: eventStream, broken: true}}, want: half, calls: 3},
		"an error at first":       {steps: []step{{status: 400, contentType: "application/json", body: "{}"}}, want: "{}", calls: 1, ok: true},
		"a failure, then resumed": {steps: []step{broken, {status: 500}, whole}, want: all, calls: 3, ok: true},
		"an error, then resumed":  {steps: []step{broken, {status: 400, contentType: "application/json", body: "{}"}, whole}, want: all, calls: 3, ok: true},
		"always an error":         {steps: []step{broken, {status: 404, contentType: "text/plain", body: "404 page not found"}}, want: half, calls: 3},
		"a text with status 200":  {steps: []step{broken, {status: 200, contentType: "text/html", body: "<html>"}}, want: half, calls: 3},
		"no connection":           {steps: []step{broken, {err: bulrushlug.KindUnplaceable}}, want: half, calls: 2},
		"no connection at first":  {steps: []step{{err: bulrushlug.KindUnplaceable}}, calls: 1},
		"an error as a stream":    {steps: []step{broken, {status: 429, contentType: eventStream, body: "data: busy\n\n"}}, want: half, calls: 3},
	} {
		t.Run(name, func(t *testing.T) {
			e := &engine{steps: x.steps}
			k := &caller{}
			err := New(new(expvar.Map).Init()).Pass(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithStream(true)), k, e)
			if k.data.String() != x.want || (k.heads == 1) != (x.want != "") || e.calls != x.calls || (err == nil) != x.ok {
				t.Errorf("%v after %d calls, the caller got %d heads and %q", err, e.calls, k.heads, k.data.String())
			}
			if err != nil && bulrushlug.KindOf(err).Response().MayHaveRun() != (x.want != "") {
				t.Errorf("%v says whether the request ran", err)
			}
		})
	}
}
