// Package conns keeps HTTP/1.1 connections to servers and sends each request exactly once.
//
// The transport of net/http repeats some requests by itself and can't tell an answer that belongs to an earlier
// request, so only its codec of requests and answers is used here.
package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	shardCount  = 8
	dialTimeout = 400 * time.Millisecond // Connects take one round trip; a lost opening packet comes again after a second.
	userTimeout = 2 * time.Second        // Age of unacknowledged bytes at which the kernel gives a connection up.
	probeTime   = time.Second            // Time between keep-alive probes on a silent connection.
	probeCount  = 2
	idleTime    = 4 * time.Second        // Time that a connection stays idle where the server names none.
	idleMargin  = 500 * time.Millisecond // Time before the end that the server named at which a connection is given up.
	maxExtra    = 3                      // Answers to other requests that are passed over on one connection.
	maxRest     = 64 << 10               // Bytes of a foreign answer that are read to get past it.
	bufferSize  = 4 << 10
)

// Pool keeps idle connections by address.
type Pool struct {
	idHeader string // Header that request and answer share.
	shards   [shardCount]shard
	dials    func() // Called for each new connection.
}

type shard struct {
	mu   sync.Mutex
	idle map[string][]*conn // By address; the one used last is at the end.
}

// conn is one connection; one request uses it at a time.
type conn struct {
	net.Conn
	in    *bufio.Reader
	until time.Time // The connection is not used after this time.
}

// New returns a pool; the header h of an answer names its request. The function f is called for each new connection.
func New(h string, f func()) *Pool {
	p := &Pool{idHeader: h, dials: f}
	for i := range p.shards {
		p.shards[i].idle = map[string][]*conn{}
	}
	return p
}

func (p *Pool) shard(a string) *shard { return &p.shards[xxhash.Sum64String(a)%shardCount] }

// Dialer returns the settings of connections that notice a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
}

// tcpUserTimeout is the number of the option TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// take returns an idle connection to a that is sound, or nil.
func (p *Pool) take(a string) *conn {
	s := p.shard(a)
	for {
		s.mu.Lock()
		l := s.idle[a]
		if len(l) == 0 {
			s.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		s.idle[a] = l[:len(l)-1]
		s.mu.Unlock()
		if time.Now().Before(c.until) && c.in.Buffered() == 0 && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// quiet reports whether n is open and nothing has arrived on it.
func quiet(n net.Conn) bool {
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

// give keeps c for later requests.
func (p *Pool) give(a string, c *conn) {
	s := p.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[a] = append(s.idle[a], c)
}

// Send sends r, whose body is b, to address a and returns the head of the answer.
//
// KindUnplaceable means that no connection could be made, so nothing was sent; after KindUncertain the request
// may have been read. The answer's body must be closed.
func (p *Pool) Send(x context.Context, a string, r *http.Request, b []byte) (*http.Response, error) {
	c, err := p.connect(x, a)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(x, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	w, err := p.exchange(c, r, b)
	if err != nil {
		stop()
		_ = c.Close()
		if x.Err() != nil {
			return nil, x.Err()
		}
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, a, err)
	}
	w.Body = &body{ReadCloser: w.Body, done: func(whole bool) {
		if !stop() || !whole || !reusable(c, w) {
			_ = c.Close()
			return
		}
		p.give(a, c)
	}}
	return w, nil
}

func (p *Pool) connect(x context.Context, a string) (*conn, error) {
	if c := p.take(a); c != nil {
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
	p.dials()
	return &conn{Conn: n, in: bufio.NewReaderSize(n, bufferSize)}, nil
}

// exchange writes the request and reads the head of its answer; answers to other requests are passed over.
func (p *Pool) exchange(c *conn, r *http.Request, b []byte) (*http.Response, error) {
	werr := write(c, r, b)
	id := r.Header.Get(p.idHeader)
	for range maxExtra {
		w, err := http.ReadResponse(c.in, r)
		if err != nil {
			if werr != nil {
				return nil, werr
			}
			return nil, err
		}
		if w.StatusCode == http.StatusContinue {
			continue
		}
		if x := w.Header.Get(p.idHeader); id == "" || x == "" || x == id {
			w.Close = w.Close || werr != nil
			return w, nil
		}
		if _, err := io.CopyN(io.Discard, w.Body, maxRest); err != io.EOF {
			return nil, bulrushlug.Errorf(bulrushlug.KindUncertain, "the answer to another request is too long to pass over")
		}
	}
	return nil, bulrushlug.Errorf(bulrushlug.KindUncertain, "only answers to other requests came")
}

// write sends r in as few packets as possible.
func write(c *conn, r *http.Request, b []byte) error {
	r.ContentLength = int64(len(b))
	r.Body = http.NoBody
	if len(b) > 0 {
		r.Body = io.NopCloser(strings.NewReader(string(b)))
	}
	o := bufio.NewWriterSize(c, bufferSize)
	if err := r.Write(o); err != nil {
		return err
	}
	return o.Flush()
}

// reusable reports whether c can carry another request after the answer w.
func reusable(c *conn, w *http.Response) bool {
	if w.Close || w.ContentLength < 0 && len(w.TransferEncoding) == 0 || c.in.Buffered() > 0 {
		return false
	}
	d := time.Duration(0)
	for v := range strings.SplitSeq(w.Header.Get("Keep-Alive"), ",") {
		n, t, _ := strings.Cut(strings.TrimSpace(v), "=")
		if s, err := strconv.Atoi(t); err == nil && strings.EqualFold(n, "timeout") {
			d = time.Duration(s) * time.Second
		}
	}
	if d == 0 {
		d = idleTime
	}
	c.until = time.Now().Add(d - idleMargin)
	return c.SetDeadline(time.Time{}) == nil
}

// body hands the connection back once the answer was read.
type body struct {
	io.ReadCloser
	once  sync.Once
	whole bool // The answer was read to its end.
	done  func(whole bool)
}

// Read reads the answer; io.EOF means that it is whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
		b.end()
	}
	return n, err
}

// Close ends the exchange; a connection whose answer was not read to its end is closed.
func (b *body) Close() error {
	b.end()
	return nil
}

func (b *body) end() { b.once.Do(func() { b.done(b.whole) }) }
