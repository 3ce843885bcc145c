package bulrushlug

import (
	"slices"
	"time"
)

// Route leads a path prefix to a plain service; values are immutable.
type Route struct {
	name       string   // Name of the service.
	prefix     string   // Starts with a slash.
	open       bool     // No key is needed.
	repeatable []string // HTTP methods whose calls may run twice.
	host       string   // Host that callers name; empty for any.
	traffic    Traffic
	idempotent bool    // Every request may run twice.
	resumable  bool    // A stream may go on at another backend server.
	shares     []Share // Services that run the requests; empty where the name is the service.
	attempts   int     // Backend servers that may run one request; zero for no limit.
	priority   int     // Zero is the most urgent.
	timeout    time.Duration
	target     time.Duration // Time to the first byte of an answer in time.
	gap        time.Duration // Longest pause between events of an answer in time.
	due        time.Duration // Time from the receipt of a lot to its last result.
	retention  time.Duration // Time after which an item of a lot may be given up.
}

// Traffic says how the requests of a route are answered.
type Traffic uint8

// The ways to answer.
const (
	TrafficCall   = Traffic(iota) // One answer.
	TrafficStream                 // A series of events.
	TrafficLot                    // Lots, whose items are answered later.
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	service string
	weight  int // At least zero.
}

// NewShare returns a share of w parts for service s.
func NewShare(s string, w int) Share { return Share{service: s, weight: w} }

// Service returns the service.
func (s Share) Service() string { return s.service }

// Weight returns the number of parts.
func (s Share) Weight() int { return s.weight }

// RouteOption sets some fields of a route.
type RouteOption func(r *Route)

// RouteHost limits the route to requests that name host h.
func RouteHost(h string) RouteOption { return func(r *Route) { r.host = h } }

// RouteTraffic sets how requests are answered and what may be repeated.
func RouteTraffic(t Traffic, idempotent, resumable bool) RouteOption {
	return func(r *Route) { r.traffic, r.idempotent, r.resumable = t, idempotent, resumable }
}

// RouteShares sets the services that run the requests.
func RouteShares(l ...Share) RouteOption { return func(r *Route) { r.shares = l } }

// RouteLimits sets attempts, priority and timeout.
func RouteLimits(attempts, priority int, timeout time.Duration) RouteOption {
	return func(r *Route) { r.attempts, r.priority, r.timeout = attempts, priority, timeout }
}

// RouteTargets sets the times within which an answer and its pauses are in time.
func RouteTargets(first, gap time.Duration) RouteOption {
	return func(r *Route) { r.target, r.gap = first, gap }
}

// RouteLots sets when lots are due and how long their items are tried.
func RouteLots(due, retention time.Duration) RouteOption {
	return func(r *Route) { r.due, r.retention = due, retention }
}

// NewRoute returns a route to n; calls with the HTTP methods m may run twice.
func NewRoute(n, p string, open bool, m []string, o ...RouteOption) Route {
	r := Route{name: n, prefix: p, open: open, repeatable: m}
	for _, f := range o {
		f(&r)
	}
	return r
}

// Name returns the name of the service.
func (r Route) Name() string { return r.name }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Open reports whether the route needs no key.
func (r Route) Open() bool { return r.open }

// Methods returns the methods whose calls may run twice.
func (r Route) Methods() []string { return r.repeatable }

// Repeatable reports whether calls with method m may run twice.
func (r Route) Repeatable(m string) bool { return slices.Contains(r.repeatable, m) }

// Host returns the host that callers name, or nothing.
func (r Route) Host() string { return r.host }

// Traffic returns how requests are answered.
func (r Route) Traffic() Traffic { return r.traffic }

// Idempotent reports whether every request may run twice.
func (r Route) Idempotent() bool { return r.idempotent }

// Resumable reports whether a stream may go on at another backend server.
func (r Route) Resumable() bool { return r.resumable }

// Shares returns the services that run the requests.
func (r Route) Shares() []Share { return r.shares }

// Attempts returns how many backend servers may run one request; zero for no limit.
func (r Route) Attempts() int { return r.attempts }

// Priority returns the rank; zero is the most urgent.
func (r Route) Priority() int { return r.priority }

// Timeout returns the longest time that a caller is kept waiting; zero for no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// Target returns the time to the first byte of an answer in time.
func (r Route) Target() time.Duration { return r.target }

// Gap returns the longest pause between events of an answer in time.
func (r Route) Gap() time.Duration { return r.gap }

// Due returns the time from the receipt of a lot to its last result.
func (r Route) Due() time.Duration { return r.due }

// Retention returns the time after which an item of a lot may be given up.
func (r Route) Retention() time.Duration { return r.retention }
