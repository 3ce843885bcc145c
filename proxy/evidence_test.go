package proxy

import (
	"context"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// countingDetector counts what the stage tells it.
type countingDetector struct {
	noDetector
	begun, broken, ended int
}

func (d *countingDetector) RecordBegun(bulrushlug.Prompt) { d.begun++ }
func (d *countingDetector) RecordBroken(context.Context, bulrushlug.Backend, bulrushlug.Prompt) bool {
	d.broken++
	return false
}
func (d *countingDetector) RecordEnded(context.Context, bulrushlug.Backend) bool {
	d.ended++
	return false
}

// TestRefusalClearsPrompt checks which responses count for and against a prompt: an error does not say that the server
// can run it.
func TestRefusalClearsPrompt(t *testing.T) {
	for name, x := range map[string]struct{ begun, broken, ended int }{
		"ok":                     {begun: 2}, // As it begins and as it ends.
		"text":                   {begun: 1},
		"no content":             {begun: 1},
		"not found":              {},
		"failed":                 {},
		"failed as a stream":     {},
		"failed and broken":      {broken: 1},
		"moved":                  {},
		"reset":                  {broken: 1},
		"broken before an event": {broken: 1},
		"broken after an event":  {broken: 1},
		"broken after two":       {begun: 1, ended: 1},
		"refused connection":     {},
		"full":                   {},
	} {
		t.Run(name, func(t *testing.T) {
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficCall, false, false))
			d := &countingDetector{}
			r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(time.Second)))
			_ = New(table(), &servers{steps: []step{steps[name]}}, noRecorder{}, func([]string) {}, d, memory.New(1<<30)).Run(t.Context(), r, &caller{})
			if d.begun != x.begun || d.broken != x.broken || d.ended != x.ended {
				t.Errorf("begun %d times, broken %d times, ended %d times", d.begun, d.broken, d.ended)
			}
		})
	}
}
