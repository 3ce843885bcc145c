package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/admin"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/choose"
	"bulrushlug.dev/bulrushlug/dedup"
	"bulrushlug.dev/bulrushlug/drain"
	"bulrushlug.dev/bulrushlug/front"
	"bulrushlug.dev/bulrushlug/grace"
	"bulrushlug.dev/bulrushlug/limit"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/place"
	"bulrushlug.dev/bulrushlug/relay"
	"bulrushlug.dev/bulrushlug/revoke"
	"bulrushlug.dev/bulrushlug/tally"
)

// takeoverWait is the time for other entries to take over the organisations of a leaving one.
const takeoverWait = 2 * time.Second

// answerMargin is the time before the end of the drain time at which open requests are answered.
const answerMargin = 300 * time.Millisecond

// entry is the role of the processes behind the load balancer that callers and operators connect to.
type entry struct {
	*Node
	revoke *revoke.Filter
	dedup  *dedup.Filter
	grace  *grace.Filter
	http   *drain.Server // Nil before start.
}

func newEntry(n *Node) *entry {
	e := &entry{Node: n, revoke: revoke.New(n.control.State()), dedup: dedup.New(n.store), grace: grace.New()}
	n.control.State().OnChange(func(*bulrushlug.Config) { go e.revoke.CancelUnauthorised() })
	return e
}

// filters returns the filters that come first in every pipe: metrics, the grace period, authentication, revocation and rate
// limits.
func (e *entry) filters() []bulrushlug.Filter {
	return []bulrushlug.Filter{
		tally.New(e.counters("requests"), e.events),
		e.grace,
		authn.New(e.control.State()),
		e.revoke,
		limit.New(e.control.Quota()),
	}
}

func (e *entry) handler() http.Handler {
	f := e.filters()
	l := append(f[:len(f):len(f)], e.dedup, place.New(e.control.State(), e.control.Roster(), e.fleet, choose.New(e.self.Zone())))
	p := pipe.New(relay.New(e.client, e.fleet, e.events), l...)
	m := http.NewServeMux()
	m.Handle("/", front.New(e.control.State(),
		front.WithPipes(p, func(s bulrushlug.Stage) bulrushlug.Stage { return pipe.New(s, f...) }),
		front.WithBatch(e.jobs, e.replicator),
		front.WithMaxBody(e.settings.MaxBodyBytes())))
	m.Handle("/admin/", admin.New(e.settings.OperatorHash(), e.control.State(), e.control.ConfigLog(), e.control.Roster(), e.client, e.jobs, e.fleet))
	m.HandleFunc("GET /healthz", e.health)
	return m
}

// health is the health check of the load balancer: it fails while the process is leaving or its configuration is stale.
func (e *entry) health(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || !e.control.State().Fresh() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	}
}

func (e *entry) stage() bulrushlug.Stage { return nil }

func (e *entry) start(c context.Context, g *group) error {
	l, err := net.Listen("tcp", e.settings.HTTP())
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, e.settings.HTTP(), err)
	}
	e.http = drain.New(&http.Server{Handler: e.guard.HTTP(e.handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, l)
	g.run(c, e.revoke.Run)
	g.run(c, e.dedup.Run)
	g.run(c, func(context.Context) error {
		if err := e.http.Serve(); err != http.ErrServerClosed {
			return bulrushlug.WrapError(bulrushlug.KindInternal, e.settings.HTTP(), err)
		}
		return nil
	})
	return nil
}

// drain leaves the ring so that other entries become homes, waits until the load balancer has noticed, and shuts the
// HTTP server down once open requests have ended. From then on requests that may last longer than the process are rejected.
func (e *entry) drain(c context.Context) {
	t := time.Now()
	e.http.Leave()
	if d, ok := c.Deadline(); ok {
		e.grace.Leave(d.Add(-answerMargin))
	}
	if err := e.control.LeaveRing(c); err == nil {
		_ = bulrushlug.Sleep(c, takeoverWait)
	}
	_ = bulrushlug.Sleep(c, lameDuckTime-time.Since(t))
	e.grace.Restrict()
	_ = e.http.Shutdown(c)
}
