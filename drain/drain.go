// Package drain stops an HTTP server without cutting a request that was read.
//
// Server.Shutdown and Server.SetKeepAlivesEnabled of net/http close every connection that counts as idle, and one counts
// as idle until after its next request was read: that request would reach a backend server and get no response. Here a
// connection ends only if a read of its next request returned nothing, and closes once the caller has the last response.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount    = 8
	checkInterval = 20 * time.Millisecond // Time between two looks at the open connections.
	queueInterval = time.Millisecond      // Time between two looks at the accept queue.
	queueTimeout  = time.Second           // How long a shutdown accepts connections that are queued; more of them may come without an end.
	// firstRequestTimeout is how long a new connection may take to send its first request during a shutdown.
	firstRequestTimeout = time.Second
)

// Server serves HTTP until it is drained.
type Server struct {
	http    *http.Server
	leaving atomic.Bool // Each response closes its connection.
	closing atomic.Bool // The listener is closed or about to be.
	cutting atomic.Bool // Connections close at once.
	open    *listener
	wrap    func(net.Listener) net.Listener // Nil for none.
	served  chan struct{}                   // Closed once Serve returned: every accepted connection is then in a shard.
	shards  [shardCount]shard
}

// shard holds a part of the connections, by remote address.
type shard struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

// Option configures a server.
type Option func(s *Server)

// WithConns has the server use the connections that f makes of its own. They have a method NetConn that returns those.
func WithConns(f func(net.Listener) net.Listener) Option { return func(s *Server) { s.wrap = f } }

// New returns a server that serves h on l; it takes over l, and the handler and the hook ConnState of h, which it calls.
func New(h *http.Server, l net.Listener, o ...Option) *Server {
	s := &Server{http: h, served: make(chan struct{})}
	for _, f := range o {
		f(s)
	}
	s.open = &listener{Listener: l, server: s}
	for i := range s.shards {
		s.shards[i].conns = map[*conn]bool{}
	}
	f := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		f.ServeHTTP(w, r)
	})
	hook := h.ConnState
	h.ConnState = func(n net.Conn, x http.ConnState) {
		if hook != nil {
			hook(n, x)
		}
		s.observe(n, x)
	}
	return s
}

// Serve serves connections until Shutdown; it then returns http.ErrServerClosed. It has to be called once.
func (s *Server) Serve() error {
	defer close(s.served)
	if s.wrap != nil {
		return s.http.Serve(s.wrap(s.open))
	}
	return s.http.Serve(s.open)
}

// Leave has each further response close its connection; connections are still accepted.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown closes the listener once the queued connections are accepted, then each connection without a request, and
// waits for open requests. When c ends it cuts them and returns the error of c. Where Serve has not begun yet, Shutdown
// waits for it, as connections may be queued already.
func (s *Server) Shutdown(c context.Context) error {
	s.Leave()
	err := s.closeListener(c)
	for err == nil && s.endIdle() > 0 {
		err = bulrushlug.Sleep(c, checkInterval)
	}
	s.cutting.Store(true)
	if e := s.http.Close(); err == nil {
		err = e
	}
	return err
}

// closeListener closes the listener once no connection waits to be accepted, or after queueTimeout, and waits until Serve has
// passed on the last connection that it accepted. If c ends before, it closes the listener at once and returns the error of c.
func (s *Server) closeListener(c context.Context) error {
	var err error
	for begun := time.Now(); err == nil && hasQueued(s.open.Listener) && time.Since(begun) < queueTimeout; {
		err = bulrushlug.Sleep(c, queueInterval)
	}
	s.closing.Store(true)
	if e := s.open.Close(); err == nil {
		err = e
	}
	select {
	case <-s.served:
		return err
	case <-c.Done():
		return c.Err()
	}
}

// endIdle ends the connections that wait for a request, and returns the number of open connections.
func (s *Server) endIdle() (n int) {
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		n += len(h.conns)
		for c := range h.conns {
			c.endIdle()
		}
		h.mu.Unlock()
	}
	return n
}

func (s *Server) shard(c *conn) *shard {
	return &s.shards[xxhash.Sum64String(c.RemoteAddr().String())%shardCount]
}

// observe keeps track of the connections and of those between two requests.
func (s *Server) observe(n net.Conn, state http.ConnState) {
	if w, ok := n.(interface{ NetConn() net.Conn }); ok && s.wrap != nil {
		n = w.NetConn()
	}
	c, ok := n.(*conn)
	if !ok {
		return
	}
	h := s.shard(c)
	switch state {
	case http.StateNew:
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	default:
		c.setIdle(state == http.StateIdle)
	}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	once   sync.Once
	err    error // Result of the first Close.
}

// Close closes the listener; later calls return the result of the first one.
func (l *listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case err == nil:
		return &conn{Conn: c, server: l.server, acceptedAt: time.Now(), idle: true, isNew: true}, nil
	case l.server.closing.Load():
		return nil, http.ErrServerClosed
	}
	return nil, err
}
