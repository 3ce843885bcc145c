// Package inlet lies between the connections of callers and net/http, and bounds what callers cost before they have sent a
// whole request and while they do not read its response.
//
// A head is passed on only when it is whole, so that none is held half parsed, and only if there is memory for it in its parsed
// form. Bodies and responses have to keep a pace. Once there are too many connections, the one that keeps the process waiting
// longest is closed.
package inlet

import (
	"context"
	"math"
	"net"
	"net/http"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/crowd"
	"bulrushlug.dev/bulrushlug/head"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/pace"
	"bulrushlug.dev/bulrushlug/seat"
)

// Reasons for which the process refuses something of a caller.
const (
	connectionRefused = "connectionRefused" // There is no place, and none yields.
	connectionYielded = "connectionYielded" // The connection gave its place to another one.
	headRefused       = "headRefused"       // There is no memory for the head in its parsed form.
	headTooLarge      = "headTooLarge"
	headSlow          = "headSlow"       // The head was not whole in time.
	bodySlow          = "bodySlow"       // The body did not keep its pace.
	responseUnread    = "responseUnread" // The caller took nothing of its response for too long.
)

// slack is what a head may have beyond its limit, as in net/http.
const slack = 4 << 10

// Inlet is the way of callers into one HTTP server.
type Inlet struct {
	crowd      *crowd.Crowd
	heads      *memory.Budget
	bounds     func() bulrushlug.Bounds // In force now.
	pace       func() pace.Pace         // In force now.
	identifier string                   // Field that a refusal has from its request.
	onRefusal  func(reason string)      // Called for each refusal.
}

// New returns an inlet for the connections in c, whose heads take the memory m together. Callers keep the bounds b, but for those
// of bodies, and the pace p, as they are at each moment. f is called with the reason of each refusal, whose response has the field
// called identifier of its request.
func New(c *crowd.Crowd, m *memory.Budget, b func() bulrushlug.Bounds, p func() pace.Pace, identifier string, f func(reason string)) *Inlet {
	return &Inlet{crowd: c, heads: m, bounds: b, pace: p, identifier: identifier, onRefusal: f}
}

// Attach has h use the inlet, which sets its bounds; its listener has to be that of Listener.
func (i *Inlet) Attach(h *http.Server) {
	h.MaxHeaderBytes = math.MaxInt32 // The inlet counts.
	h.ReadHeaderTimeout, h.IdleTimeout = i.bounds().HeaderTimeout(), i.bounds().IdleTimeout()
	h.Handler = i.handler(h.Handler)
	h.ConnContext = func(c context.Context, n net.Conn) context.Context { return context.WithValue(c, connKey{}, n) }
	h.ConnState = func(n net.Conn, s http.ConnState) {
		c, ok := n.(*conn)
		switch {
		case !ok:
		case s == http.StateActive:
			c.open()
		case s == http.StateIdle:
			c.idle()
		case s == http.StateClosed:
			c.end()
		}
	}
}

type connKey struct{}

// handler returns h for requests that are admitted.
func (i *Inlet) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !i.heads.Hold(&c.reserved, headCost(r.Header)) {
			i.onRefusal(headRefused)
			noMemory.respond(w, i.identifier, r.Header.Get(i.identifier))
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !c.work() {
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
			return
		}
		c.beginBody()
		q := *r
		q.Body = &body{ReadCloser: r.Body, conn: c, request: r}
		h.ServeHTTP(w, &q)
		if c.hasYielded() {
			panic(http.ErrAbortHandler) // Without it, net/http keeps the connection for a while so that the caller gets the response.
		}
	})
}

// headCost returns the memory for the fields of a head. The scanner may have missed some, if they came with the end of the
// request before it.
func headCost(h http.Header) int {
	n, b := 0, 0
	for k, l := range h {
		for _, v := range l {
			n, b = n+1, b+len(k)+len(v)
		}
	}
	return head.Cost(n, b)
}

// Listener returns a listener of the connections from l that find a place.
func (i *Inlet) Listener(l net.Listener) net.Listener { return &listener{l, i} }

type listener struct {
	net.Listener
	inlet *Inlet
}

// Accept returns the next connection that finds a place, and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, inlet: l.inlet}
		c.seat = seat.New(c.yield)
		yielded, ok := l.inlet.crowd.Enter(c.seat)
		if yielded {
			l.inlet.onRefusal(connectionYielded)
		}
		if ok {
			return c, nil
		}
		l.inlet.onRefusal(connectionRefused)
		_ = c.raw().Close()
	}
}
