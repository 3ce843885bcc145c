package proxy

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

// leaver is a set of servers of which a says in each answer that it is leaving; the others take some time.
type leaver struct {
	table *slots.Table
	mu    sync.Mutex
	asked []string // Servers in the order of their requests.
	slow  *servers // Answers of the other servers.
}

// newLeaver returns servers of which those other than a answer the first request by s, and complete the next ones.
func newLeaver(s step) *leaver {
	v := &leaver{table: slots.New("e", func() []string { return nil }), slow: &servers{steps: []step{s, steps["ok"]}}}
	v.table.Update([]bulrushlug.Backend{server("a"), server("b"), server("c")})
	return v
}

func server(id string) bulrushlug.Backend {
	return bulrushlug.NewBackend(id, "s", id+":1", bulrushlug.BackendZoneSlots("z", 8))
}

// load sets the load of the servers by other processes.
func (v *leaver) load(a, b, c uint32) {
	v.table.UpdateRemote("o", []bulrushlug.Usage{bulrushlug.NewUsage("a", a, 0), bulrushlug.NewUsage("b", b, 0), bulrushlug.NewUsage("c", c, 0)})
}

func (v *leaver) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.mu.Lock()
	v.asked = append(v.asked, b.ID())
	v.mu.Unlock()
	if b.ID() == "a" {
		v.table.RecordDeparture(bulrushlug.NewDeparture(b, r.ID(), "response"))
		return (&servers{steps: []step{steps["ok"]}}).Call(c, b, r)
	}
	if err := bulrushlug.Sleep(c, 300*time.Millisecond); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.slow.Call(c, b, r)
}

// send sends one request on a resumable route.
func (v *leaver) send(t *testing.T, id string) (*caller, error) {
	route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
		bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true), bulrushlug.RouteLimits(3, 0, time.Second))
	k := &caller{}
	err := New(v.table, v, noRecorder{}, func([]string) {}, noDetector{}, memory.New(1<<30)).Run(t.Context(), bulrushlug.NewRequest(id, bulrushlug.WithTarget(route)), k)
	return k, err
}

// TestRetryReachesLeavingServer guards against requests that wait at one server and then are retried or resumed at
// another one, which has said meanwhile that it is leaving.
func TestRetryReachesLeavingServer(t *testing.T) {
	for name, x := range map[string]struct {
		step  string
		asked []string
	}{
		"no retry":                   {step: "ok", asked: []string{"b", "a"}},
		"a retry of a refusal":       {step: "full", asked: []string{"b", "a", "c"}},
		"a retry after a connection": {step: "refused connection", asked: []string{"b", "a", "c"}},
		"a retry of a failure":       {step: "failed", asked: []string{"b", "a", "c"}},
		"a retry of a reset":         {step: "reset", asked: []string{"b", "a", "c"}},
		"a resumed stream":           {step: "broken after an event", asked: []string{"b", "a", "c"}},
		"a stream before its events": {step: "broken before an event", asked: []string{"b", "a", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newLeaver(steps[x.step])
				v.load(9, 0, 9)
				done := make(chan struct{})
				go func() {
					defer close(done)
					if k, err := v.send(t, "waits"); err != nil || k.status != 200 {
						t.Errorf("status %d, %v", k.status, err)
					}
				}()
				time.Sleep(100 * time.Millisecond)
				v.load(0, 9, 6)
				if _, err := v.send(t, "told"); err != nil {
					t.Error(err)
				}
				<-done
				if !slices.Equal(v.asked, x.asked) {
					t.Errorf("servers asked: %v", v.asked)
				}
			})
		})
	}
}

// TestAllServersLeave has all servers of a service leave: their requests are refused as not run.
func TestAllServersLeave(t *testing.T) {
	for name, x := range map[string]struct {
		told     []string // Servers that told this process.
		reported []string // Servers that told another one.
		asked    int      // Servers asked.
	}{
		"all told":                  {told: []string{"a", "b", "c"}},
		"all reported":              {reported: []string{"a", "b", "c"}, asked: 1},
		"one reported, others told": {told: []string{"a", "b"}, reported: []string{"c"}, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newLeaver(steps["ok"])
				for _, id := range x.told {
					v.table.RecordDeparture(bulrushlug.NewDeparture(server(id), "r", "response"))
				}
				for _, id := range x.reported {
					v.table.RecordReported([]bulrushlug.Backend{server(id)})
				}
				_, err := v.send(t, "r")
				if len(v.asked) != x.asked || (err == nil) != (x.asked > 0) {
					t.Errorf("servers asked: %v, %v", v.asked, err)
				}
				if err != nil && (bulrushlug.KindOf(err) != bulrushlug.KindOverloaded || bulrushlug.RetryAfterOf(err) == 0) {
					t.Errorf("%v, retry after %v", err, bulrushlug.RetryAfterOf(err))
				}
			})
		})
	}
}
