// Package intake bounds what connections of other processes cost: their number, and the bytes of the messages on them.
//
// It answers connections to the port on which processes call each other that send nothing, or messages without their end. A call has a
// connection of its own and ends soon, so the oldest connection yields to a new one.
package intake

import (
	"errors"
	"net"
	"sync"

	"bulrushlug.dev/bulrushlug/crowd"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/seat"
)

// Reasons for which something of another process is refused.
const (
	peerRefused     = "peerRefused"     // There is no place for a connection.
	peerYielded     = "peerYielded"     // The oldest connection gave its place to a new one.
	messagesRefused = "messagesRefused" // There is no memory for the messages of a connection.
)

// messageCopies is how often a message counts: it is copied as the memory for it grows.
const messageCopies = 2

var errNoMemory = errors.New("no memory for the messages of this connection")

// Listener is a listener whose connections are bounded.
type Listener struct {
	net.Listener
	crowd     *crowd.Crowd
	memory    *memory.Budget
	onRefusal func(reason string)
}

// New returns a listener of the connections from l that find a place in c; all that comes on them takes memory from m until they
// end. f is called with the reason of each refusal.
func New(l net.Listener, c *crowd.Crowd, m *memory.Budget, f func(reason string)) *Listener {
	return &Listener{Listener: l, crowd: c, memory: m, onRefusal: f}
}

// Accept returns the next connection that finds a place, and closes the others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, listener: l}
		c.seat = seat.New(func() bool { return c.Close() == nil })
		yielded, ok := l.crowd.Enter(c.seat)
		if yielded {
			l.onRefusal(peerYielded)
		}
		if ok {
			return c, nil
		}
		l.onRefusal(peerRefused)
		_ = n.Close()
	}
}

// conn is a connection of another process.
type conn struct {
	net.Conn
	listener *Listener
	seat     *seat.Seat
	mu       sync.Mutex
	received int // Bytes that were read.
	reserved int // Bytes reserved for them.
	closed   bool
	ended    bool // Nothing is reserved any more.
	onClose  func()
}

// OnClose has f called as the connection closes, at once if it is closed: its server may wait for something else than its bytes.
func (c *conn) OnClose(f func()) {
	c.mu.Lock()
	c.onClose = f
	closed := c.closed
	c.mu.Unlock()
	if closed {
		f()
	}
}

// count counts n bytes that were read; it ends the connection if there is no memory for them.
func (c *conn) count(n int) error {
	c.mu.Lock()
	c.received += n
	ok := c.ended || c.listener.memory.Hold(&c.reserved, messageCopies*c.received)
	c.mu.Unlock()
	if ok {
		return nil
	}
	c.listener.onRefusal(messagesRefused)
	return errors.Join(errNoMemory, c.Close())
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if e := c.count(n); e != nil {
		return 0, e
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	first, f := !c.closed, c.onClose
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if first && f != nil {
		f()
	}
	return err
}

// End closes the connection, and gives back its place and its memory. The server calls it once it holds nothing more of it.
func (c *conn) End() {
	_ = c.Close()
	c.mu.Lock()
	first := !c.ended
	c.ended = true
	c.listener.memory.Release(&c.reserved)
	c.mu.Unlock()
	if first {
		c.listener.crowd.Leave(c.seat)
	}
}
