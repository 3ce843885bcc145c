package proxy

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// endDetector knows whether the server that was called last has ended.
type endDetector struct {
	noDetector
	servers *servers
}

func (d endDetector) RecordEnded(context.Context, bulrushlug.Backend) bool {
	return d.servers.steps[min(d.servers.calls, len(d.servers.steps))-1].ends
}

// TestServerEndsUnframed guards against a part of a response that is taken for the whole, as its server crashed and the response
// does not say where it ends. Where no other server may answer or go on, the caller gets what there is.
func TestServerEndsUnframed(t *testing.T) {
	const (
		resumable     = "resumable"
		notResumable  = "not resumable"
		idempotent    = "idempotent"
		notIdempotent = "not idempotent"
	)
	two := step{status: 200, events: 2, bare: true, ends: true}
	text := step{status: 200, text: true, bare: true, ends: true}
	for name, x := range map[string]struct {
		route string
		steps []step
		asked []uint64 // Event after which each run resumed.
		short bool     // The caller gets a part.
	}{
		"a stream":                       {route: resumable, steps: []step{two, steps["ok"]}, asked: []uint64{0, 2}},
		"a stream, the server goes on":   {route: resumable, steps: []step{{status: 200, events: eventCount, bare: true}}, asked: []uint64{0}},
		"a framed stream":                {route: resumable, steps: []step{{status: 200, events: eventCount, ends: true}}, asked: []uint64{0}},
		"after the last event":           {route: resumable, steps: []step{{status: 200, events: eventCount, bare: true, ends: true}, {status: 200, bare: true}}, asked: []uint64{0, eventCount}},
		"no run is left":                 {route: resumable, steps: []step{two, {status: 200, events: 1, bare: true, ends: true}}, asked: []uint64{0, 2}, short: true},
		"a stream that may not resume":   {route: notResumable, steps: []step{two}, asked: []uint64{0}, short: true},
		"a text":                         {route: idempotent, steps: []step{text, {status: 200, text: true}}, asked: []uint64{0, 0}},
		"a text that may not run again":  {route: notIdempotent, steps: []step{text}, asked: []uint64{0}},
		"a text, and its server goes on": {route: idempotent, steps: []step{{status: 200, text: true, bare: true}}, asked: []uint64{0}},
	} {
		t.Run(name, func(t *testing.T) {
			k := &caller{}
			v := &servers{steps: x.steps}
			traffic := bulrushlug.RouteTraffic(bulrushlug.TrafficStream, false, x.route == resumable)
			if x.route == idempotent || x.route == notIdempotent {
				traffic = bulrushlug.RouteTraffic(bulrushlug.TrafficCall, x.route == idempotent, false)
			}
			route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), traffic, bulrushlug.RouteLimits(2, 0, time.Second))
			r := bulrushlug.NewRequest("r", bulrushlug.WithTarget(route), bulrushlug.WithDeadline(time.Now().Add(time.Second)))
			if err := New(table(), v, noRecorder{}, func([]string) {}, endDetector{servers: v}, memory.New(1<<30)).Run(t.Context(), r, k); err != nil {
				t.Error(err)
			}
			if !slices.Equal(v.asked, x.asked) {
				t.Errorf("runs resumed after %v", v.asked)
			}
			if n := strings.Count(k.data, "\n\n"); k.contentType == eventStream && n != eventCount && !x.short {
				t.Errorf("the caller has %d events", n)
			}
		})
	}
}
