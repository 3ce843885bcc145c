package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// fixedConfig is a ConfigSource with a fixed configuration.
type fixedConfig struct{ config *bulrushlug.Config }

func (f fixedConfig) Config() *bulrushlug.Config { return f.config }
func (fixedConfig) Fresh() bool                  { return true }
func (fixedConfig) Accepted() uint64             { return 1 }

// TestServiceTarget guards against a plain service that gets another path than its caller sent.
func TestServiceTarget(t *testing.T) {
	c := bulrushlug.RestoreConfig(1, []bulrushlug.Change{
		bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("r", "/tickets", true, nil)),
		bulrushlug.NewChange("2", "t", bulrushlug.NewRoute("q", "/tickets/old", true, nil)),
	})
	for name, x := range map[string]struct{ target, route, sent string }{
		"plain":                    {target: "/tickets/x", route: "r", sent: "/x"},
		"a query":                  {target: "/tickets/x?y=%2F", route: "r", sent: "/x?y=%2F"},
		"an escaped slash":         {target: "/tickets/x%2Fy", route: "r", sent: "/x%2Fy"},
		"an escaped question mark": {target: "/tickets/x%3Fy", route: "r", sent: "/x%3Fy"},
		"an escaped percent":       {target: "/tickets/x%2541", route: "r", sent: "/x%2541"},
		"the longer prefix":        {target: "/tickets/old/x", route: "q", sent: "/x"},
		"its slash is escaped":     {target: "/tickets%2Fold/x", route: "r", sent: "/%2Fold/x"},
	} {
		t.Run(name, func(t *testing.T) {
			var got *bulrushlug.Request
			s := New(fixedConfig{c}, WithPipes(bulrushlug.StageFunc(func(_ context.Context, r *bulrushlug.Request, _ bulrushlug.Sink) error {
				got = r
				return nil
			}), nil), WithMaxBody(1000))
			s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, x.target, nil))
			if got == nil || got.Route() != x.route || got.Path() != x.sent {
				t.Errorf("the service gets %+v, want %q on %q", got, x.sent, x.route)
			}
		})
	}
}
