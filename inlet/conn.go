package inlet

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug/head"
	"bulrushlug.dev/bulrushlug/seat"
)

const (
	refusalTime  = 100 * time.Millisecond // For a refusal, for which the kernel has room.
	minHeadBytes = 4 << 10                // Bytes that a head in several parts gets at first.
)

// errRefused ends a connection whose caller has its answer; net/http adds none after an error of a read.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the head of a request was refused")}

// errYielded is the error of a request whose connection was closed before it was whole.
var errYielded = errors.New("the connection yielded to another one")

// phase is what happens on a connection.
type phase uint8

const (
	inHead = phase(iota) // The next head has not come, or not all of it.
	opened               // The head is parsed.
	inBody               // The body has not come, or not all of it.
	inWork               // The request is whole.
)

// conn is the connection of a caller. Only one goroutine at a time reads; net/http sees to that.
type conn struct {
	net.Conn
	inlet *Inlet
	seat  *seat.Seat

	mu         sync.Mutex
	phase      phase
	yielded    bool
	closed     bool
	rests      bool      // The next read deadline of the server is that of an idle connection.
	paced      bool      // A read deadline of the pace is in force.
	readUntil  time.Time // Read deadline that the server set.
	writeUntil time.Time // Write deadline that the server set.
	allowed    time.Time // Write deadline in force.

	begun    time.Time    // When the head, or the body, began; zero before.
	received int          // Bytes of the head or body.
	scanner  head.Scanner // Reads the head.
	reserved int          // Bytes reserved for the head.
	unread   []byte       // Bytes that net/http has not read.
	ready    int          // How many of them it may read.
	last     [2]byte      // Last bytes that it read.
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// raw returns the innermost connection, whose Close returns at once.
func (c *conn) raw() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}

// yield closes the connection, and returns false if the process does not wait for the caller.
func (c *conn) yield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.seat.Behind(time.Now()) < 0 {
		return false
	}
	c.yielded = true
	_ = c.raw().Close()
	return true
}

// end gives up the place of the connection after it was closed.
func (c *conn) end() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.inlet.heads.Release(&c.reserved)
	c.inlet.crowd.Leave(c.seat)
}

func (c *conn) hasYielded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded
}

// idle begins the next head.
func (c *conn) idle() {
	c.inlet.heads.Release(&c.reserved)
	c.scanner.Reset(c.last[:])
	c.ready, c.begun, c.received = 0, time.Time{}, 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.rests = inHead, true
	c.seat.Wait(time.Now(), 0)
}

// open ends the head.
func (c *conn) open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = opened
	c.paced = false // The server sets its deadline after each head.
	c.seat.Work()
}

// beginBody begins the body.
func (c *conn) beginBody() {
	c.begun, c.received = time.Now(), 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inBody
	c.seat.Wait(c.begun, 0)
}

// work ends the request, and returns false if its connection has yielded.
func (c *conn) work() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inWork
	c.seat.Work()
	if c.paced {
		c.paced = false
		_ = c.Conn.SetReadDeadline(c.readUntil)
	}
	return !c.yielded
}

// pace sets the read deadline t while the connection is in phase f. A head has its own time, once it has begun; the rest has to
// keep the server's deadline too.
func (c *conn) pace(f phase, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != f || f != inHead && !c.readUntil.IsZero() && c.readUntil.Before(t) {
		return nil
	}
	c.paced = true
	return c.Conn.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of reads. Where it is that of the next head, the bounds in force take its place; the server
// keeps those with which it began.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.phase == inHead && now.Before(t) {
		b := c.inlet.bounds()
		d := b.HeaderTimeout()
		if c.rests {
			d = b.IdleTimeout()
		}
		t = now.Add(d)
	}
	c.rests = false
	c.readUntil, c.paced = t, false
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of the writes that begin after it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil, c.allowed = t, time.Time{}
	return nil
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	f := c.phase
	c.mu.Unlock()
	if f != inHead {
		c.ready = len(c.unread)
	}
	switch {
	case c.ready > 0:
		n = c.take(p)
	case f == inHead:
		n, err = c.readHead(p)
	case f == inBody:
		n, err = c.readBody(p)
	default:
		n, err = c.Conn.Read(p)
	}
	switch {
	case n == 1:
		c.last[0], c.last[1] = c.last[1], p[0]
	case n > 1:
		c.last[0], c.last[1] = p[n-2], p[n-1]
	}
	return n, err
}

// take passes on bytes that were read before.
func (c *conn) take(p []byte) int {
	n := copy(p, c.unread[:c.ready])
	c.unread, c.ready = c.unread[n:], c.ready-n
	if len(c.unread) == 0 {
		c.unread = nil
	}
	return n
}

// readHead reads until the head is whole, or larger than its limit, and passes on its first bytes.
func (c *conn) readHead(p []byte) (int, error) {
	if len(c.unread) == 0 && len(p) > 0 { // Most heads come in one part.
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		whole := c.scan(p[:n])
		if f := c.verdict(whole); f != nil {
			return c.refuse(*f, p[:n])
		}
		if whole || err != nil {
			return n, err
		}
		c.unread = append(make([]byte, 0, max(minHeadBytes, n)), p[:n]...)
	} else if c.scan(c.unread) {
		return c.passHead(p)
	}
	for {
		if err := c.pace(inHead, c.inlet.pace().Head(c.begun)); err != nil {
			return 0, err
		}
		if len(c.unread) == cap(c.unread) {
			size := 2 * cap(c.unread)
			if !c.inlet.heads.Hold(&c.reserved, size) {
				return c.refuse(noMemory, c.unread)
			}
			c.unread = append(make([]byte, 0, size), c.unread...)
		}
		k := len(c.unread)
		n, err := c.Conn.Read(c.unread[k:cap(c.unread)])
		c.unread = c.unread[:k+n]
		if n > 0 && c.scan(c.unread[k:]) {
			return c.passHead(p)
		}
		if f := c.verdict(false); f != nil {
			return c.refuse(*f, c.unread)
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return c.refuse(tooSlow, c.unread)
			}
			return 0, err
		}
	}
}

// scan reads a part of the head, and reports whether the head is whole.
func (c *conn) scan(p []byte) bool {
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
	end := c.scanner.Scan(p)
	c.seat.Wait(c.begun, c.scanner.Bytes())
	return end >= 0
}

// verdict returns the refusal of a head that is too large or, once it is whole, for which there is no memory in its parsed form;
// nil for none.
func (c *conn) verdict(whole bool) *refusal {
	switch {
	case c.scanner.Bytes() > c.inlet.bounds().MaxHeaderBytes()+slack:
		return &tooLarge
	case whole && !c.inlet.heads.Hold(&c.reserved, c.scanner.Cost()):
		return &noMemory
	}
	return nil
}

// passHead passes on the first bytes of a head that was read in several parts.
func (c *conn) passHead(p []byte) (int, error) {
	if f := c.verdict(true); f != nil {
		return c.refuse(*f, c.unread)
	}
	c.ready = len(c.unread)
	return c.take(p), nil
}

// refuse answers with f a request whose head, or the beginning of it, is h and was not passed on.
func (c *conn) refuse(f refusal, h []byte) (int, error) {
	c.inlet.onRefusal(f.reason)
	b, err := f.encode(c.inlet.identifier, head.Value(h, c.inlet.identifier))
	c.unread, c.ready = nil, 0
	if err == nil && c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		_, _ = c.Conn.Write(b)
	}
	return 0, errRefused
}

// readBody reads a part of the body.
func (c *conn) readBody(p []byte) (int, error) {
	if err := c.pace(inBody, c.inlet.pace().Body(c.begun, c.received)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
	if c.phase != inBody {
		return n, err
	}
	c.seat.Wait(c.begun, c.received)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.yielded {
		c.inlet.onRefusal(bodySlow)
	}
	return n, err
}

// Write writes p, as long as the caller takes some of it in time.
func (c *conn) Write(p []byte) (n int, err error) {
	for {
		if err := c.beginWrite(); err != nil {
			return n, err
		}
		i, err := c.Conn.Write(p[n:])
		n += i
		late := errors.Is(err, os.ErrDeadlineExceeded)
		expired := c.endWrite()
		switch {
		case !late:
			return n, err
		case expired:
			return n, err
		case i == 0:
			c.inlet.onRefusal(responseUnread)
			return n, err
		}
	}
}

// beginWrite sets the deadline of a write. One that is still far enough is kept.
func (c *conn) beginWrite() error {
	now, p := time.Now(), c.inlet.pace()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seat.Write(now)
	t := p.Response(now)
	if !c.allowed.Before(t) || !c.allowed.IsZero() && c.allowed.Equal(c.writeUntil) {
		return nil
	}
	c.allowed = p.Response(t)
	if !c.writeUntil.IsZero() && c.writeUntil.Before(c.allowed) {
		c.allowed = c.writeUntil
	}
	return c.Conn.SetWriteDeadline(c.allowed)
}

// endWrite ends a write, and reports whether the time that the server allows for the response is over.
func (c *conn) endWrite() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inBody {
		c.seat.Wait(c.begun, c.received)
	} else {
		c.seat.Work()
	}
	return !c.writeUntil.IsZero() && !now.Before(c.writeUntil)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request // As net/http has it.
}

// Read reads a part of the body. The connection no longer yields once its end was read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // Nobody reads it.
		if !b.conn.work() {
			return n, errYielded
		}
	}
	return n, err
}
