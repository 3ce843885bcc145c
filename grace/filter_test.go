package grace

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	readiness = 2 * time.Second // From Leave to Restrict.
	period    = 7 * time.Second // From Leave to the end.
)

// TestRequestAtEndOfGrace guards against requests of a leaving process that are cut without an answer at the end of its
// grace period.
func TestRequestAtEndOfGrace(t *testing.T) {
	for name, x := range map[string]struct {
		at    time.Duration // When the request arrives, from Leave on.
		limit time.Duration // Time from then to its deadline; zero for none.
		takes time.Duration // How long it runs.
		error error         // Error of the next stage; nil for none or that of its context.
		ok    bool
		want  bulrushlug.Kind
		after time.Duration // When it is answered, from Leave on.
	}{
		"before, short":                     {at: -time.Second, limit: 5 * time.Second, takes: 3 * time.Second, ok: true, after: 2 * time.Second},
		"before, longer than the period":    {at: -time.Second, limit: time.Minute, takes: time.Minute, want: bulrushlug.KindUncertain, after: period},
		"at first, may last longer":         {at: time.Second, limit: time.Minute, takes: time.Second, ok: true, after: 2 * time.Second},
		"at first, lasts longer":            {at: time.Second, takes: time.Minute, want: bulrushlug.KindUncertain, after: period},
		"at first, refused at the end":      {at: time.Second, takes: time.Minute, error: bulrushlug.Errorf(bulrushlug.KindOverloaded, "full"), want: bulrushlug.KindOverloaded, after: period},
		"at first, broken at the end":       {at: time.Second, takes: time.Minute, error: bulrushlug.Errorf(bulrushlug.KindBroken, "cut"), want: bulrushlug.KindBroken, after: period},
		"late, ends in time":                {at: 3 * time.Second, limit: 3 * time.Second, takes: time.Second, ok: true, after: 4 * time.Second},
		"late, may last longer":             {at: 3 * time.Second, limit: 5 * time.Second, takes: time.Second, want: bulrushlug.KindLeaving, after: 3 * time.Second},
		"late, without a deadline":          {at: 3 * time.Second, takes: time.Second, want: bulrushlug.KindLeaving, after: 3 * time.Second},
		"late, until the end":               {at: 3 * time.Second, limit: 4 * time.Second, takes: 4*time.Second - 1, ok: true, after: period - 1},
		"after the end":                     {at: period + time.Millisecond, limit: time.Millisecond, want: bulrushlug.KindLeaving, after: period + time.Millisecond},
		"its own failure before the end":    {at: time.Second, takes: time.Second, error: bulrushlug.Errorf(bulrushlug.KindBroken, "cut"), want: bulrushlug.KindBroken, after: 2 * time.Second},
		"the caller leaves before the end":  {at: time.Second, takes: time.Second, error: context.Canceled, want: bulrushlug.KindCancelled, after: 2 * time.Second},
		"a deadline passes before the end":  {at: time.Second, takes: time.Second, error: context.DeadlineExceeded, want: bulrushlug.KindTimeout, after: 2 * time.Second},
		"nothing leaves, without an ending": {at: -time.Second, takes: time.Millisecond, ok: true, after: -time.Second + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New()
				leave := time.Now().Add(2 * time.Second)
				go func() {
					time.Sleep(time.Until(leave))
					f.Leave(leave.Add(period))
					time.Sleep(readiness)
					f.Restrict()
				}()
				time.Sleep(time.Until(leave.Add(x.at)))
				var o []bulrushlug.RequestOption
				if x.limit > 0 {
					o = append(o, bulrushlug.WithDeadline(time.Now().Add(x.limit)))
				}
				err := f.Pass(t.Context(), bulrushlug.NewRequest("r", o...), nil, bulrushlug.StageFunc(func(c context.Context, _ *bulrushlug.Request, _ bulrushlug.Sink) error {
					if err := bulrushlug.Sleep(c, x.takes); err != nil && x.error == nil {
						return err
					}
					return x.error
				}))
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.want {
					t.Errorf("Pass returned %v", err)
				}
				if d := time.Since(leave); d != x.after {
					t.Errorf("answered after %v", d)
				}
				if bulrushlug.KindOf(err) == bulrushlug.KindLeaving && bulrushlug.RetryAfterOf(err) == 0 && err != nil {
					t.Error("the rejection names no time to come back")
				}
				time.Sleep(period + 5*time.Second)
			})
		})
	}
}
