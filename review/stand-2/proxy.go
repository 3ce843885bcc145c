//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards channels to an address, and can make the open ones silent: they stay open, and nothing passes any more.
type proxy struct {
	address string
	mu      sync.Mutex
	silent  []*atomic.Bool // Of each channel.
	conns   [][2]net.Conn
	cut     bool // New channels are silent too.
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{address: l.Addr().String()}
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			s := &atomic.Bool{}
			p.mu.Lock()
			s.Store(p.cut)
			p.silent = append(p.silent, s)
			p.conns = append(p.conns, [2]net.Conn{a, b})
			p.mu.Unlock()
			go pass(a, b, s)
			go pass(b, a, s)
		}
	}()
	return p
}

// pass copies what comes from a to b until the channel is silent; then it reads on and drops all.
func pass(a, b net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if silent.Load() {
			if err != nil {
				a.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := b.Write(buf[:n]); err != nil {
				a.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := b.(*net.TCPConn); ok {
					_ = t.CloseWrite()
					return
				}
			}
			b.Close()
			return
		}
	}
}

// silence makes all open channels silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
	return len(p.silent)
}

// partition makes all channels silent, and new ones too.
func (p *proxy) partition() {
	p.mu.Lock()
	p.cut = true
	p.mu.Unlock()
	p.silence()
}

// heal ends a partition: silent channels are closed, and new ones work.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	for i, s := range p.silent {
		if s.Load() {
			p.conns[i][0].Close()
			p.conns[i][1].Close()
		}
	}
	p.silent, p.conns = nil, nil
}
