package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bulrushlug.dev/bulrushlug/conns"
)

// conn is a connection that can be ended while it waits for a request, and at no other time.
type conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	mu         sync.Mutex
	idle       bool      // No request is open: a read that waits now waits for the next one.
	isNew      bool      // No byte was read yet.
	waiting    bool      // A read waits for the next request.
	ending     bool      // That read is to return at once; set only while waiting.
	deadline   time.Time // Read deadline that the server set.
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// setIdle records whether the connection is between two requests.
func (c *conn) setIdle(b bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = b
}

// SetReadDeadline sets the deadline of reads; the one that ends an idle connection goes before it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// endIdle has the read that waits for a request return, unless the connection is too new.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.ending || c.isNew && time.Since(c.acceptedAt) < firstRequestTimeout {
		return
	}
	c.ending = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}

// Read reads from the connection; io.EOF is also the end of a connection that endIdle ended before any byte arrived.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		c.waiting = c.idle
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		if retry, err := c.finishRead(n, err); !retry {
			return n, err
		}
	}
}

// finishRead handles the result of a read; retry means that bytes arrived as endIdle interrupted it.
func (c *conn) finishRead(n int, err error) (retry bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ending := c.ending
	c.waiting, c.ending = false, false
	if n > 0 {
		c.idle, c.isNew = false, false
	}
	if !ending {
		return false, err
	}
	if e := c.Conn.SetReadDeadline(c.deadline); e != nil && err == nil {
		return false, nil
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	return !conns.IsQuiet(c.Conn), io.EOF
}

// hasQueued reports whether a connection waits to be accepted by l.
func hasQueued(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = r.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = err == nil && n > 0
	})
	return err == nil && queued
}
