package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fleet"
)

type noRecorder struct{}

func (noRecorder) Record(bulrushlug.Event) {}

// caller is a sink that records what the caller receives.
type caller struct {
	head int
	data string
}

func (k *caller) Head(n int, _ string) error {
	k.head++
	return nil
}

func (k *caller) Write(p []byte) error {
	k.data += string(p)
	return nil
}

// agents is a fake dispatcher that counts how often the request ran.
type agents struct {
	steps []string // Outcome of each attempt; the last one repeats.
	calls int
	ran   int
}

// Dispatch ends as the next step says.
func (a *agents) Dispatch(c context.Context, d bulrushlug.Candidate, _ *bulrushlug.Request, s bulrushlug.Sink) error {
	x := a.steps[min(a.calls, len(a.steps)-1)]
	a.calls++
	switch x {
	case "refusedConnection":
		return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "connection refused")
	case "leaving":
		return bulrushlug.Errorf(bulrushlug.KindLeaving, "leaving")
	case "full":
		return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no slot")
	case "lostBeforeRun":
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "cut before it ran")
	}
	a.ran++
	if x == "lostAfterRun" {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "cut after it ran")
	}
	if err := s.Head(200, "text/plain"); err != nil {
		return err
	}
	for i := range 3 {
		if x == "brokenAfterOne" && i == 1 {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "cut")
		}
		if err := s.Write(fmt.Append(nil, d.VM(), i, " ")); err != nil {
			return err
		}
	}
	if x == "cancelled" {
		return context.Canceled
	}
	return nil
}

// TestCutPoints fails the first two attempts at every point, and checks that no request runs twice unless it is
// idempotent, and that the caller gets one complete response or one error that says whether the request may have run.
func TestCutPoints(t *testing.T) {
	all := []string{"refusedConnection", "leaving", "full", "lostBeforeRun", "lostAfterRun", "brokenAfterOne", "cancelled", "ok"}
	for _, first := range all {
		for _, second := range all {
			for mode, o := range map[string][]bulrushlug.RequestOption{
				"idempotent":             {bulrushlug.WithIdempotent(true)},
				"idempotent, streamed":   {bulrushlug.WithIdempotent(true), bulrushlug.WithStream(true)},
				"not idempotent":         {},
				"not idempotent, stream": {bulrushlug.WithStream(true)},
			} {
				t.Run(first+", then "+second+"/"+mode, func(t *testing.T) { cutPoint(t, []string{first, second, "ok"}, o) })
			}
		}
	}
}

func cutPoint(t *testing.T, steps []string, o []bulrushlug.RequestOption) {
	a := &agents{steps: steps}
	r := bulrushlug.NewRequest("r", o...)
	r.SetCandidates([]bulrushlug.Candidate{bulrushlug.NewCandidate("x", "x"), bulrushlug.NewCandidate("y", "y"), bulrushlug.NewCandidate("z", "z")})
	k := &caller{}
	err := New(a, fleet.New(), noRecorder{}).Run(context.Background(), r, k)
	if !r.Idempotent() && a.ran > 1 {
		t.Errorf("ran %d times", a.ran)
	}
	if err != nil && !bulrushlug.KindOf(err).Response().MayHaveRun() && a.ran > 0 {
		t.Errorf("%v says that the request did not run, but it did", err)
	}
	if k.head > 1 {
		t.Errorf("%d heads", k.head)
	}
	whole := false
	for _, v := range []string{"x", "y", "z"} {
		whole = whole || k.data == v+"0 "+v+"1 "+v+"2 "
	}
	if err == nil && !whole {
		t.Errorf("the response is %q", k.data)
	}
	if err != nil && !r.Stream() && k.data != "" {
		t.Errorf("part of a response reached the caller: %q", k.data)
	}
	if r.Idempotent() && steps[0] == "refusedConnection" && steps[1] == "ok" && err != nil {
		t.Errorf("not retried: %v", err)
	}
}

// TestNotRunAfterAnAttemptThatRan has all agents refuse a request that the first one may have run.
func TestNotRunAfterAnAttemptThatRan(t *testing.T) {
	for _, first := range []string{"lostBeforeRun", "lostAfterRun", "brokenAfterOne"} {
		for _, then := range []string{"refusedConnection", "leaving", "full"} {
			t.Run(first+", then "+then, func(t *testing.T) {
				cutPoint(t, []string{first, then}, []bulrushlug.RequestOption{bulrushlug.WithIdempotent(true)})
			})
		}
	}
}

// TestRetryBudget guards against a retry storm when all agents refuse connections.
func TestRetryBudget(t *testing.T) {
	a := &agents{steps: []string{"refusedConnection"}}
	g := New(a, fleet.New(), noRecorder{})
	for range 1000 {
		r := bulrushlug.NewRequest("r", bulrushlug.WithIdempotent(true))
		r.SetCandidates([]bulrushlug.Candidate{bulrushlug.NewCandidate("x", "x"), bulrushlug.NewCandidate("y", "y"), bulrushlug.NewCandidate("z", "z")})
		if g.Run(context.Background(), r, &caller{}) == nil {
			t.Fatal("a refused request was answered")
		}
	}
	if n := a.calls - 1000; n > 1000/requestsPerRetry+initialRetries {
		t.Errorf("%d retries of 1000 requests", n)
	}
}

// TestUnhealthyServersAreExcluded guards against using servers that stopped reporting, failed or are leaving.
func TestUnhealthyServersAreExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New()
		report := func(v string, n uint64, leaving bool) {
			f.Receive(bulrushlug.NewMessage(bulrushlug.MessageLoadReports(bulrushlug.NewLoadReport(v, n,
				bulrushlug.LoadReportAt(v, "r", "z", "boot"), bulrushlug.LoadReportCounts(8, 0, 0, 0),
				bulrushlug.LoadReportServes([]string{"m"}, nil), bulrushlug.LoadReportLeaving(leaving)))))
		}
		r := bulrushlug.NewRequest("r", bulrushlug.WithModel("m"))
		healthy := func() (l []string) {
			for _, v := range f.Offering(r) {
				if v.Live() && !v.RecentlyFailed() {
					l = append(l, v.LoadReport().VM())
				}
			}
			return l
		}
		report("silent", 1, false)
		for i := range uint64(5) {
			report("reporting", i+1, false)
			time.Sleep(time.Second)
		}
		if l := healthy(); len(l) != 1 || l[0] != "reporting" {
			t.Errorf("a server without a report for 5 s is among %v", l)
		}
		f.RecordFailure("reporting")
		if l := healthy(); len(l) != 0 {
			t.Errorf("a failed server is among %v", l)
		}
		time.Sleep(1100 * time.Millisecond)
		report("reporting", 9, false)
		report("leaves", 1, true)
		if l := healthy(); len(l) != 1 || l[0] != "reporting" {
			t.Errorf("want only the recovered server, got %v", l)
		}
	})
}
