package batch

import (
	"context"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

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
