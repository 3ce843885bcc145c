// Package dial makes connections on which a reset is not mistaken for the end of what the peer sends.
package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// ErrReset is the error of reads from a connection that ended while the process was writing to it.
var ErrReset = errors.New("the connection ended while it was being written")

// Dialer makes TCP connections.
type Dialer struct{ dialer net.Dialer }

// New returns a dialer with the settings of d.
func New(d net.Dialer) *Dialer { return &Dialer{d} }

// DialContext connects to address a.
func (d *Dialer) DialContext(c context.Context, network, a string) (net.Conn, error) {
	n, err := d.dialer.DialContext(c, network, a)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n}, nil
}

// conn is a connection whose reads fail, rather than end, once a write has failed. The kernel reports a reset once: if a write gets
// it, the next read finds the connection closed, as if the peer had sent all.
type conn struct {
	net.Conn
	writing atomic.Int32 // Writes in progress.
	failed  atomic.Bool  // A write has failed.
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && (c.writing.Load() > 0 || c.failed.Load()) {
		err = ErrReset
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}
