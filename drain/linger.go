package drain

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lingerTimeout  = 2 * time.Second // Longest wait until the caller's host has the last response.
	lingerInterval = 10 * time.Millisecond
	lingerBytes    = 4 << 10 // Bytes that are discarded at a time.
)

// Close closes the connection once the caller's host has the last response, or after lingerTimeout, unless the server is
// cutting its connections.
func (c *conn) Close() error {
	if !c.server.cutting.Load() {
		c.linger()
	}
	return c.Conn.Close()
}

// linger ends the sending direction, and discards what still arrives until all that was sent is acknowledged. A close with
// bytes unread, or bytes after it, would reset the connection and destroy the response (RFC 9112, section 9.6).
func (c *conn) linger() {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	var b []byte
	for t := time.Now(); !isAcknowledged(c.Conn) && time.Since(t) < lingerTimeout && !c.server.cutting.Load(); {
		if b == nil {
			b = make([]byte, lingerBytes)
		}
		if c.Conn.SetReadDeadline(time.Now().Add(lingerInterval)) != nil {
			return
		}
		if _, err := c.Conn.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// isAcknowledged reports whether the peer has acknowledged all that was sent on n.
func isAcknowledged(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return true
	}
	left := 0
	if e := r.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); e != nil || err != nil {
		return true
	}
	return left == 0
}
