package refuse

import (
	"context"
	"expvar"
	"fmt"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func TestCounts(t *testing.T) {
	route := bulrushlug.NewRoute("r", "/", true, nil)
	for name, x := range map[string]struct {
		err           error
		organisations int // That have one request each.
		want          map[string]string
	}{
		"success":  {organisations: 1, want: map[string]string{"o0/r/rateLimited": ""}},
		"refusal":  {organisations: 2, err: bulrushlug.Errorf(bulrushlug.KindRateLimited, "x"), want: map[string]string{"o0/r/rateLimited": "1", "o1/r/rateLimited": "1", rest: ""}},
		"failure":  {organisations: 1, err: bulrushlug.Errorf(bulrushlug.KindBroken, "x"), want: map[string]string{"o0/r/broken": ""}},
		"too many": {organisations: maxNames + 3, err: bulrushlug.Errorf(bulrushlug.KindOverloaded, "x"), want: map[string]string{"o0/r/overloaded": "1", fmt.Sprintf("o%d/r/overloaded", maxNames): "", rest: "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := new(expvar.Map).Init()
			f := New(m)
			for i := range x.organisations {
				r := bulrushlug.NewRequest("i", bulrushlug.WithTarget(route))
				_ = f.Pass(t.Context(), r, nil, bulrushlug.StageFunc(func(_ context.Context, q *bulrushlug.Request, _ bulrushlug.Sink) error {
					q.Authenticate(fmt.Sprint("o", i), "k")
					return x.err
				}))
			}
			for k, v := range x.want {
				got := ""
				if n := m.Get(k); n != nil {
					got = n.String()
				}
				if got != v {
					t.Errorf("%s is %q, want %q", k, got, v)
				}
			}
		})
	}
}
