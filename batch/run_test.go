package batch

import (
	"context"
	"expvar"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/memkv"
)

// TestFinish finishes a job whose record may be gone or taken over.
func TestFinish(t *testing.T) {
	for name, x := range map[string]struct {
		owner string // Owner in the record; empty if there is no record.
		want  bulrushlug.Kind
		ok    bool
	}{
		"its own":            {owner: "vm", ok: true},
		"another one's":      {owner: "vm2", want: bulrushlug.KindConflict},
		"the record is gone": {want: bulrushlug.KindNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				j := jobs.New(memkv.New())
				i := jobs.ID("o", "k")
				b := bulrushlug.NewJob(i, "o", "f", "/v1/completions", bulrushlug.JobOwner("vm", 3))
				if x.owner != "" {
					if _, err := j.Create(c, b.With(bulrushlug.JobOwner(x.owner, 3))); err != nil {
						t.Fatal(err)
					}
				}
				r := &run{Runner: New("vm", WithStores(j, nil), WithTelemetry(event.New("vm", clock.New()), new(expvar.Map).Init())), job: b}
				begin := time.Now()
				err := r.finish(c, func(x bulrushlug.Job) (bulrushlug.Job, error) {
					return withFinalStatus(x, bulrushlug.StatusCompleted, ""), nil
				})
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.want {
					t.Errorf("error %v", err)
				}
				if d := time.Since(begin); d > storeRetryDelay {
					t.Errorf("it takes %v", d)
				}
			})
		})
	}
}

// TestDeeplyNestedResponseEndsProcess has responses whose validation by recursion overflows the stack, which ends the
// process.
func TestDeeplyNestedResponseEndsProcess(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	for name, body := range map[string]string{
		"arrays":        strings.Repeat("[", maxResponseBytes),
		"closed arrays": strings.Repeat("[", maxResponseBytes/2) + strings.Repeat("]", maxResponseBytes/2),
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan outcome, 1)
			go func() { // On a new stack.
				a := &response{status: 200}
				_ = a.Write([]byte(body))
				done <- responseLine("r", []byte(`{"custom_id":"a"}`), a)
			}()
			if l := <-done; gjson.GetBytes(l.line, "response.body").String() != body {
				t.Errorf("the response is not in the line of %d bytes", len(l.line))
			}
		})
	}
}
