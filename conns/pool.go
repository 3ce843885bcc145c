// Package conns is a pool of HTTP/1.1 connections that never resends a request by itself.
//
// The transport of net/http retries some requests and can't detect a stale response to an earlier request, so this package
// uses only its encoding of requests and responses.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/dial"
)

const (
	shardCount        = 8
	dialTimeout       = 400 * time.Millisecond // A connect takes one round trip; the kernel resends a lost SYN only after a second.
	userTimeout       = 2 * time.Second        // Age of unacknowledged bytes at which the kernel closes a connection.
	probeInterval     = time.Second            // Time between TCP keep-alive probes on an idle connection.
	probeCount        = 2
	defaultIdleTime   = 4 * time.Second        // Idle time of a connection if the server sends no Keep-Alive timeout.
	idleMargin        = 500 * time.Millisecond // Time before the server's idle timeout at which a connection is no longer used.
	maxStaleResponses = 3                      // Stale responses to other requests that are skipped for one request.
	maxStaleBytes     = 64 << 10               // Bytes of a stale response's body that are skipped.
	maxRefused        = 32                     // Requests without success after which a connection is closed.
	maxHeadBytes      = 64 << 10               // Bytes of the status line and header fields of one response.
	bufferSize        = 4 << 10
	closedTimeout     = 10 * time.Minute // Longer than a connection is in use by one request.
)

// Pool holds idle connections by address, sharded by address.
type Pool struct {
	idHeader string // Header that carries the identifier of a request in its response.
	shards   [shardCount]shard
	onDial   func() // Called for each new connection.
}

type shard struct {
	mu     sync.Mutex
	idle   map[string][]*conn   // By address, least recently used first.
	closed map[string]time.Time // Last CloseIdle by address, for closedTimeout; connections opened before it are not reused.
}

// conn is a connection; at most one request uses it at a time.
type conn struct {
	net.Conn
	in      *bufio.Reader
	head    headLimit   // What in reads from.
	opened  time.Time   // When the connection was made.
	reused  bool        // An earlier request used the connection; its response had the identifier of that request.
	refused []string    // Requests that were answered without success; a second copy would pass for the answer if they came again.
	expires time.Time   // The connection is not reused after this time.
	timer   *time.Timer // Closes the idle connection when it expires; nil before it was idle.
}

// headLimit reads from a connection, and fails once the head of a response is larger than maxHeadBytes.
type headLimit struct {
	net.Conn
	left int // Bytes that may be read; negative for any number.
}

// Read reads from the connection.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, bulrushlug.Errorf(bulrushlug.KindBroken, "the head of a response is larger than %d bytes", maxHeadBytes)
	}
	if l.left > 0 {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.Conn.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

// newConn returns the connection n, which no request used yet.
func newConn(n net.Conn) *conn {
	c := &conn{Conn: n, head: headLimit{Conn: n}, opened: time.Now()}
	c.in = bufio.NewReaderSize(&c.head, bufferSize)
	return c
}

// readHead reads the head of the next response to r.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.head.left = maxHeadBytes
	w, err := http.ReadResponse(c.in, r)
	c.head.left = -1
	return w, err
}

// New returns a pool that matches responses to requests by the header h; f is called for each new connection.
func New(h string, f func()) *Pool {
	p := &Pool{idHeader: h, onDial: f}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*conn{}
		p.shards[i].closed = map[string]time.Time{}
	}
	return p
}

func (p *Pool) shard(a string) *shard { return &p.shards[xxhash.Sum64String(a)%shardCount] }

// Dialer returns the dialer of connections that detect an unresponsive peer by keep-alive probes and TCP_USER_TIMEOUT.
func Dialer() *dial.Dialer {
	return dial.New(net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	})
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// takeIdle returns a reusable idle connection to a for request id, or nil, and closes those that are not reusable.
func (p *Pool) takeIdle(a, id string) *conn {
	if id == "" {
		return nil // Nothing would tell its response from a stale one.
	}
	for {
		c := p.shard(a).take(a, id)
		if c == nil {
			return nil
		}
		c.timer.Stop()
		if time.Now().Before(c.expires) && c.in.Buffered() == 0 && IsQuiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// take removes the connection to a that was used last and did not refuse request id, and returns it, or nil.
func (s *shard) take(a, id string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.idle[a]
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; !slices.Contains(c.refused, id) {
			s.idle[a] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// IsQuiet reports whether n is open with no bytes to read; bytes on an idle connection are a stale response.
func IsQuiet(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = e == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// putIdle returns c to the pool until it expires, or closes it if CloseIdle was called while it was in use.
func (p *Pool) putIdle(a string, c *conn) {
	s := p.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.opened.Before(s.closed[a]) {
		_ = c.Close()
		return
	}
	s.idle[a] = append(s.idle[a], c)
	d := time.Until(c.expires)
	if c.timer == nil {
		c.timer = time.AfterFunc(d, func() { s.expire(a, c) })
		return
	}
	c.timer.Reset(d)
}

// expire closes c if it is idle and has expired. Nobody reads from an idle connection, so without this one whose
// address is not used again would hold what its server sends.
func (s *shard) expire(a string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.idle[a], c)
	if i < 0 || time.Now().Before(c.expires) {
		return
	}
	if s.idle[a] = slices.Delete(s.idle[a], i, i+1); len(s.idle[a]) == 0 {
		delete(s.idle, a)
	}
	_ = c.Close()
}

// CloseIdle closes the idle connections to address a, and those in use once their responses were read.
func (p *Pool) CloseIdle(a string) {
	s := p.shard(a)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.closed, func(_ string, t time.Time) bool { return now.Sub(t) > closedTimeout })
	s.closed[a] = now
	for _, c := range s.idle[a] {
		c.timer.Stop()
		_ = c.Close()
	}
	delete(s.idle, a)
}

// Send sends r with body b to address a once, and returns the response, whose body the caller must close.
//
// It calls onHead with the head of each response that arrives, which is stale if it is one to an earlier request on the
// same connection. onHead may set Close, so that the connection is not used again.
//
// KindUnplaceable means that no connection was made, so nothing was sent; after KindUncertain the server may have
// received the request.
func (p *Pool) Send(x context.Context, a string, r *http.Request, b []byte, onHead func(w *http.Response, stale bool)) (*http.Response, error) {
	c, err := p.connect(x, a, r.Header.Get(p.idHeader))
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(x, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	w, err := p.exchange(c, r, b, onHead)
	if err != nil {
		stop()
		_ = c.Close()
		if x.Err() != nil {
			return nil, x.Err()
		}
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, a, err)
	}
	w.Body = &body{ReadCloser: w.Body, done: func(complete bool) {
		if !stop() || !complete || !reusable(c, w) {
			_ = c.Close()
			return
		}
		p.putIdle(a, c)
	}}
	return w, nil
}

func (p *Pool) connect(x context.Context, a, id string) (*conn, error) {
	if c := p.takeIdle(a, id); c != nil {
		return c, nil
	}
	if x.Err() != nil {
		return nil, x.Err()
	}
	n, err := Dialer().DialContext(x, "tcp", a)
	if err != nil {
		if x.Err() != nil {
			return nil, x.Err()
		}
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	p.onDial()
	return newConn(n), nil
}

// Refuses reports whether address a refuses a new connection: its process has ended. A connection that is accepted goes to
// the pool.
func (p *Pool) Refuses(x context.Context, a string) bool {
	n, err := Dialer().DialContext(x, "tcp", a)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.onDial()
	c := newConn(n)
	c.expires = time.Now().Add(defaultIdleTime - idleMargin)
	p.putIdle(a, c)
	return false
}

// exchange writes the request and reads the head of its response, skipping stale responses to other requests.
//
// On a reused connection a response without an identifier is a stale one too: the server repeats identifiers.
func (p *Pool) exchange(c *conn, r *http.Request, b []byte, onHead func(w *http.Response, stale bool)) (*http.Response, error) {
	werr := write(c, r, b)
	id := r.Header.Get(p.idHeader)
	last := false // The connection ends after a stale response.
	for range maxStaleResponses {
		w, err := c.readHead(r)
		if err != nil {
			if werr != nil {
				return nil, werr
			}
			return nil, err
		}
		if err := checkStatus(w); err != nil {
			return nil, err
		}
		if w.StatusCode < http.StatusOK {
			continue
		}
		x := w.Header.Get(p.idHeader)
		stale := x != id && (x != "" || c.reused)
		onHead(w, stale)
		if !stale {
			w.Close = w.Close || last || werr != nil || x == ""
			c.reused = true
			if w.StatusCode >= http.StatusMultipleChoices {
				c.refused = append(c.refused, id)
			}
			return w, nil
		}
		last = last || w.Close
		if _, err := io.CopyN(io.Discard, w.Body, maxStaleBytes); err != io.EOF {
			return nil, bulrushlug.Errorf(bulrushlug.KindUncertain, "a stale response to another request is too long to skip")
		}
	}
	return nil, bulrushlug.Errorf(bulrushlug.KindUncertain, "only stale responses to other requests arrived")
}

// checkStatus fails if w can't be a response, so that its connection holds nothing that could be read: its status is none of HTTP, it
// is an interim response that announces a body, or it switches to a protocol that nobody asked for.
func checkStatus(w *http.Response) error {
	n := w.StatusCode
	interim := n >= http.StatusContinue && n < http.StatusOK && n != http.StatusSwitchingProtocols
	switch {
	case !interim && !bulrushlug.IsFinalStatus(n):
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "a response has status %q", w.Status)
	case interim && (w.Header.Get("Content-Length") != "" || len(w.TransferEncoding) > 0):
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "an interim response with status %q announces a body", w.Status)
	}
	return nil
}

// write sends head and body in as few packets as possible.
func write(c *conn, r *http.Request, b []byte) error {
	r.ContentLength = int64(len(b))
	r.Body = http.NoBody
	if len(b) > 0 {
		r.Body = io.NopCloser(strings.NewReader(string(b)))
	}
	o := bufio.NewWriterSize(c, bufferSize)
	if err := r.Write(withSlashes(o, r)); err != nil {
		return err
	}
	return o.Flush()
}

// reusable reports whether c can carry another request after the response w, and sets its expiry.
func reusable(c *conn, w *http.Response) bool {
	if w.Close || w.ContentLength < 0 && len(w.TransferEncoding) == 0 || c.in.Buffered() > 0 || len(c.refused) >= maxRefused {
		return false
	}
	d := defaultIdleTime
	for v := range strings.SplitSeq(w.Header.Get("Keep-Alive"), ",") {
		n, t, _ := strings.Cut(strings.TrimSpace(v), "=")
		if s, err := strconv.Atoi(t); err == nil && strings.EqualFold(n, "timeout") {
			d = time.Duration(s) * time.Second
		}
	}
	c.expires = time.Now().Add(d - idleMargin)
	return d > idleMargin && c.SetDeadline(time.Time{}) == nil
}

// body returns the connection to the pool once the response was read.
type body struct {
	io.ReadCloser
	once     sync.Once
	complete bool // The body was read to its end.
	done     func(complete bool)
}

// Read reads the body; io.EOF means that it is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
		b.finish()
	}
	return n, err
}

// Close releases the connection; if the body was not read to its end the connection is closed.
func (b *body) Close() error {
	b.finish()
	return nil
}

func (b *body) finish() { b.once.Do(func() { b.done(b.complete) }) }
