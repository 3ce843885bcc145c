package node

import (
	"context"
	"net/http"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/admin"
	"bulrushlug.dev/bulrushlug/authn"
	"bulrushlug.dev/bulrushlug/choose"
	"bulrushlug.dev/bulrushlug/dedup"
	"bulrushlug.dev/bulrushlug/front"
	"bulrushlug.dev/bulrushlug/limit"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/place"
	"bulrushlug.dev/bulrushlug/relay"
	"bulrushlug.dev/bulrushlug/revoke"
	"bulrushlug.dev/bulrushlug/tally"
)

// handOver is the time for other entries to take over the organisations of one that leaves.
const handOver = 2 * time.Second

// entry is the role of the thin VMs behind the balancer.
type entry struct {
	*Node
	guard *revoke.Filter
	once  *dedup.Filter
	http  *http.Server
}

func newEntry(n *Node) *entry {
	e := &entry{Node: n, guard: revoke.New(n.control.State()), once: dedup.New(n.store)}
	n.control.State().OnChange(func(*bulrushlug.Config) { go e.guard.CancelUnauthorised() })
	e.http = &http.Server{Addr: n.settings.HTTP(), Handler: e.handler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	return e
}

// filters returns what stands before every stage: counting, keys, limits.
func (e *entry) filters() []bulrushlug.Filter {
	return []bulrushlug.Filter{
		tally.New(e.sub("requests"), e.events),
		authn.New(e.control.State()),
		e.guard,
		limit.New(e.control.Limiter()),
	}
}

func (e *entry) handler() http.Handler {
	f := e.filters()
	l := append(f[:len(f):len(f)], e.once, place.New(e.control.State(), e.control.Roster(), e.fleet, choose.New(e.self.Zone())))
	p := pipe.New(relay.New(e.link, e.fleet, e.events), l...)
	m := http.NewServeMux()
	m.Handle("/", front.New(e.control.State(),
		front.WithPipes(p, func(s bulrushlug.Stage) bulrushlug.Stage { return pipe.New(s, f...) }),
		front.WithBatch(e.jobs, e.copies),
		front.WithMaxBody(e.settings.MaxBody())))
	m.Handle("/admin/", admin.New(e.settings.OperatorHash(), e.control.State(), e.control.Ledger(), e.control.Roster(), e.link, e.jobs, e.fleet))
	m.HandleFunc("GET /healthz", e.health)
	return m
}

// health tells the balancer whether to send callers here.
func (e *entry) health(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || !e.control.State().Fresh() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
	}
}

func (e *entry) stage() bulrushlug.Stage { return nil }

func (e *entry) start(c context.Context, g *group) error {
	g.run(c, e.guard.Run)
	g.run(c, e.once.Run)
	g.run(c, func(context.Context) error {
		if err := e.http.ListenAndServe(); err != http.ErrServerClosed {
			return bulrushlug.WrapError(bulrushlug.KindInternal, e.settings.HTTP(), err)
		}
		return nil
	})
	return nil
}

// drain hands the homes over, waits for the balancer to look elsewhere, and lets open requests end.
func (e *entry) drain(c context.Context) {
	t := time.Now()
	if err := e.control.LeaveRing(c); err == nil {
		_ = bulrushlug.Sleep(c, handOver)
	}
	_ = bulrushlug.Sleep(c, lameDuck-time.Since(t))
	if e.http.Shutdown(c) != nil {
		_ = e.http.Close()
	}
}
