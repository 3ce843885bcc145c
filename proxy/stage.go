// Package proxy is the last stage of a pipe: a reverse proxy that sends requests straight to backend servers.
package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/hush"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	maxServers  = 4                      // Backend servers tried for one request, those that refuse it included.
	retryAfter  = 300 * time.Millisecond // Retry-After of a service without capacity; about the duration of a short response.
	maxHeld     = 4 << 10                // Bytes of events that are held while the next one is there already.
	begunEvents = 2                      // Events of a response after which its request is not what ends the server.
	// suspectTimeout is the time without a response after which other requests avoid a server: three times the 99th
	// percentile of the time to the first event at peak load.
	suspectTimeout = 600 * time.Millisecond
	// responseTimeout is the time without a response after which a request is retried at another server that has capacity.
	responseTimeout = 1200 * time.Millisecond

	statusOK          = 200
	statusRedirection = 300 // Lowest status that does not report success.
	statusServerError = 500 // Lowest status that reports a failure of the server.
)

// Stage forwards each request to a backend server and retries it where that is safe.
type Stage struct {
	table    *slots.Table
	client   bulrushlug.BackendClient
	recorder bulrushlug.Recorder
	notify   func(vms []string) // Tells the processes on these VMs that a request runs on the same server as their batch items.
	detector bulrushlug.PoisonDetector
	memory   *memory.Budget // For what all responses hold.
	monitor  *hush.Monitor  // Hears the events of all streams; nil if each stream is judged by itself.
	guard    *guard.Guard   // Of the goroutines that search for another server; nil for none.

	callersLeft atomic.Uint64 // Requests at servers that ended because their callers had left.
}

// CallersLeft returns the requests at backend servers that were ended because their callers had left.
func (g *Stage) CallersLeft() uint64 { return g.callersLeft.Load() }

// WithMonitor makes streams go on elsewhere as soon as m finds their server silent; it is called before g is used.
func (g *Stage) WithMonitor(m *hush.Monitor) *Stage {
	g.monitor = m
	return g
}

// WithGuard runs searches for other servers under x; it is called before g is used.
func (g *Stage) WithGuard(x *guard.Guard) *Stage {
	g.guard = x
	return g
}

// protect runs f under the guard.
func (g *Stage) protect(f func()) {
	if g.guard == nil {
		f()
		return
	}
	_ = g.guard.Do("search", f)
}

// New returns a stage that takes slots from t and sends requests by c, unless d holds them back; f tells the processes on
// the given VMs that a request runs on the same server as their batch items. Responses hold what m allows.
func New(t *slots.Table, c bulrushlug.BackendClient, e bulrushlug.Recorder, f func(vms []string), d bulrushlug.PoisonDetector, m *memory.Budget) *Stage {
	return &Stage{table: t, client: c, recorder: e, notify: f, detector: d, memory: m}
}

// Run forwards r to servers until one responds or no retry is safe; the response goes to s.
func (g *Stage) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	if d := r.Deadline(); !d.IsZero() {
		var stop context.CancelFunc
		c, stop = context.WithDeadline(c, d)
		defer stop()
	}
	a := &exchange{Stage: g, request: r, sink: &sink{sink: s}, service: pickService(r.TargetRoute()), skip: map[string]bool{}}
	defer a.releaseNext()
	var err error
	for n := 0; n < maxServers || a.next != nil; n++ {
		var retry bool
		if retry, err = a.try(c); !retry || c.Err() != nil {
			break
		}
		r.NextAttempt()
	}
	return a.finalError(c, err)
}
