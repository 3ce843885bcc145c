package poison

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxEnds         = 256                    // Ends that are kept.
	maxReportedEnds = 64                     // Ends in one report.
	endLifetime     = 10 * time.Second       // Age at which an end is forgotten.
	togetherTime    = 500 * time.Millisecond // Servers that end within it end together.
	refusedLifetime = time.Second            // Time for which a refused connection says that a server has ended.
	aliveLifetime   = 100 * time.Millisecond // Time for which an accepted one says that it has not.
)

// ends holds the servers that ended lately, and whether servers refused connections lately.
type ends struct {
	refuses func(c context.Context, address string) bool

	version atomic.Int64 // Increases with each new end.

	mu     sync.Mutex
	all    []end // In the order of their times, one a server, at most maxEnds.
	probes map[uint64]*probe
}

// end is the end of a server.
type end struct {
	server uint64
	at     time.Time
	own    bool // This process found it.
}

// probe is a check whether a server refuses connections.
type probe struct {
	done    chan struct{} // Closed when the fields below are set.
	refused bool
	at      time.Time
}

// probe reports whether a server has ended. Connections that break at the same time share one check.
func (e *ends) probe(c context.Context, server uint64, address string) bool {
	e.mu.Lock()
	p := e.probes[server]
	if p == nil || p.expired(time.Now()) {
		p = &probe{done: make(chan struct{})}
		for k, x := range e.probes {
			if x.expired(time.Now()) {
				delete(e.probes, k)
			}
		}
		e.probes[server] = p
		e.mu.Unlock()
		x, stop := context.WithTimeout(context.WithoutCancel(c), probeTimeout)
		defer stop()
		p.refused = e.refuses(x, address)
		p.at = time.Now()
		close(p.done)
		return p.refused
	}
	e.mu.Unlock()
	select {
	case <-p.done:
		return p.refused
	case <-c.Done():
		return false
	}
}

// expired reports whether the outcome of a probe is too old; one that goes on is not.
func (p *probe) expired(now time.Time) bool {
	select {
	case <-p.done:
	default:
		return false
	}
	if p.refused {
		return now.Sub(p.at) >= refusedLifetime
	}
	return now.Sub(p.at) >= aliveLifetime
}

// add adds the end of a server at time t, unless an end of it is known or t is too long ago, and reports whether it did.
// If there is no room, the oldest end goes.
func (e *ends) add(server uint64, t time.Time, own bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = slices.DeleteFunc(e.all, func(x end) bool { return now.Sub(x.at) > endLifetime })
	if now.Sub(t) > endLifetime || slices.ContainsFunc(e.all, func(x end) bool { return x.server == server }) {
		return false
	}
	i, _ := slices.BinarySearchFunc(e.all, t, func(x end, t time.Time) int { return x.at.Compare(t) })
	e.all = slices.Insert(e.all, i, end{server, t, own})
	if len(e.all) > maxEnds {
		e.all = slices.Delete(e.all, 0, 1)
	}
	e.version.Add(1)
	return true
}

// together returns the number of servers that ended together with one that ended at time t.
func (e *ends) together(t time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	find := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(e.all, t, func(x end, t time.Time) int { return x.at.Compare(t) })
		return i
	}
	return find(t.Add(togetherTime+1)) - find(t.Add(-togetherTime))
}

// report returns the newest ends, those that this process found first.
func (e *ends) report(now time.Time) (l []bulrushlug.ServerEnd) {
	e.mu.Lock()
	var m []end
	for _, x := range e.all {
		if now.Sub(x.at) < spreadTime {
			m = append(m, x)
		}
	}
	e.mu.Unlock()
	slices.SortStableFunc(m, func(a, b end) int {
		if a.own != b.own {
			if a.own {
				return -1
			}
			return 1
		}
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.server, b.server))
	})
	for _, x := range m[:min(len(m), maxReportedEnds)] {
		l = append(l, bulrushlug.NewServerEnd(x.server, now.Sub(x.at)))
	}
	return l
}
