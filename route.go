package bulrushlug

import (
	"slices"
	"time"
)

// Route maps a path prefix to a plain HTTP service; values are immutable.
type Route struct {
	name              string   // Name of the service.
	prefix            string   // Starts with a slash.
	open              bool     // No API key is required.
	idempotentMethods []string // HTTP methods whose requests can safely run more than once.
	host              string   // Host that requests must name; empty for any.
	traffic           Traffic
	idempotent        bool    // Every request can safely run more than once.
	resumable         bool    // A stream can be resumed at another backend server.
	shares            []Share // Traffic split between services; empty if the route's name is the service.
	attempts          int     // Maximum number of backend servers that one request is sent to; zero for no limit.
	priority          int     // Zero is the most urgent.
	timeout           time.Duration
	firstByteTarget   time.Duration // Target for the time to first byte; a response that takes longer counts as late.
	eventGapTarget    time.Duration // Target for the pause between events; a stream with a longer one counts as late.
	due               time.Duration // Target for the time from the receipt of a lot to its last result.
	retention         time.Duration // Time after which an unfinished item of a lot may be abandoned.
}

// Traffic is the kind of response that the requests of a route get.
type Traffic uint8

// The kinds of response.
const (
	TrafficCall   = Traffic(iota) // A single response.
	TrafficStream                 // A stream of server-sent events.
	TrafficLot                    // Lots, whose items run asynchronously.
)

// Share is the share of a route's requests that goes to one service (traffic split).
type Share struct {
	service string
	weight  int // Relative to the sum of all weights of the route; at least zero.
}

// NewShare returns a share with weight w for service s.
func NewShare(s string, w int) Share { return Share{service: s, weight: w} }

// Service returns the service.
func (s Share) Service() string { return s.service }

// Weight returns the weight relative to the sum of all weights of the route.
func (s Share) Weight() int { return s.weight }

// RouteOption configures a new Route.
type RouteOption func(r *Route)

// RouteHost restricts the route to requests for host h.
func RouteHost(h string) RouteOption { return func(r *Route) { r.host = h } }

// RouteTraffic sets the kind of response, and whether requests are idempotent and streams resumable.
func RouteTraffic(t Traffic, idempotent, resumable bool) RouteOption {
	return func(r *Route) { r.traffic, r.idempotent, r.resumable = t, idempotent, resumable }
}

// RouteShares sets the traffic split between services.
func RouteShares(l ...Share) RouteOption { return func(r *Route) { r.shares = l } }

// RouteLimits sets the maximum number of attempts, the priority and the timeout.
func RouteLimits(attempts, priority int, timeout time.Duration) RouteOption {
	return func(r *Route) { r.attempts, r.priority, r.timeout = attempts, priority, timeout }
}

// RouteTargets sets the targets for the time to first byte and for the pause between events.
func RouteTargets(first, gap time.Duration) RouteOption {
	return func(r *Route) { r.firstByteTarget, r.eventGapTarget = first, gap }
}

// RouteLots sets the target for the completion of lots and the time after which their unfinished items may be abandoned.
func RouteLots(due, retention time.Duration) RouteOption {
	return func(r *Route) { r.due, r.retention = due, retention }
}

// NewRoute returns the route n for path prefix p; requests with the HTTP methods m can safely run more than once.
func NewRoute(n, p string, open bool, m []string, o ...RouteOption) Route {
	r := Route{name: n, prefix: p, open: open, idempotentMethods: m}
	for _, f := range o {
		f(&r)
	}
	return r
}

// Name returns the name of the service.
func (r Route) Name() string { return r.name }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Open reports whether the route requires no API key.
func (r Route) Open() bool { return r.open }

// IdempotentMethods returns the HTTP methods whose requests can safely run more than once.
func (r Route) IdempotentMethods() []string { return r.idempotentMethods }

// IdempotentMethod reports whether requests with HTTP method m can safely run more than once.
func (r Route) IdempotentMethod(m string) bool { return slices.Contains(r.idempotentMethods, m) }

// Host returns the host that requests must name; empty for any.
func (r Route) Host() string { return r.host }

// Traffic returns the kind of response.
func (r Route) Traffic() Traffic { return r.traffic }

// Idempotent reports whether every request can safely run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Resumable reports whether a stream can be resumed at another backend server.
func (r Route) Resumable() bool { return r.resumable }

// Shares returns the traffic split between services; empty if the route's name is the service.
func (r Route) Shares() []Share { return r.shares }

// Attempts returns the maximum number of backend servers that one request is sent to; zero for no limit.
func (r Route) Attempts() int { return r.attempts }

// Priority returns the priority; zero is the most urgent.
func (r Route) Priority() int { return r.priority }

// Timeout returns the time limit of a request; zero for no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// FirstByteTarget returns the target for the time to first byte.
func (r Route) FirstByteTarget() time.Duration { return r.firstByteTarget }

// EventGapTarget returns the target for the pause between events.
func (r Route) EventGapTarget() time.Duration { return r.eventGapTarget }

// Due returns the target for the time from the receipt of a lot to its last result.
func (r Route) Due() time.Duration { return r.due }

// Retention returns the time after which an unfinished item of a lot may be abandoned.
func (r Route) Retention() time.Duration { return r.retention }
