package daemon

import (
	"net"
	"sync"
	"testing"
	"time"
)

// faultProxy is a TCP proxy that can inject network faults.
type faultProxy struct {
	to    string
	mu    sync.Mutex
	mode  string // Injected fault: "" (none), "delay", "stall" (both directions), "stall replies" or "reset".
	conns map[net.Conn]bool
	dead  map[net.Conn]bool // Connections that stay open and are silent for good.
}

// newFaultProxy returns a proxy to address a and the address at which it listens.
func newFaultProxy(t *testing.T, a string) (*faultProxy, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &faultProxy{to: a, conns: map[net.Conn]bool{}, dead: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close(); g.set("reset") })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g, l.Addr().String()
}

func (g *faultProxy) state() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode
}

// set changes the injected fault; "reset" also resets the open connections.
func (g *faultProxy) set(m string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	if m == "reset" {
		for c := range g.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// silenceOpen makes the open connections silent for good; new ones work.
func (g *faultProxy) silenceOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		g.dead[c] = true
	}
}

// silent reports whether c is silent for good.
func (g *faultProxy) silent(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead[c]
}

func (g *faultProxy) track(c net.Conn, v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v {
		g.conns[c] = true
		return
	}
	delete(g.conns, c)
}

func (g *faultProxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	x, err := net.Dial("tcp", g.to)
	if err != nil || g.state() == "reset" {
		return
	}
	defer func() { _ = x.Close() }()
	g.track(c, true)
	defer g.track(c, false)
	go func() { g.forward(c, x, c, "stall replies"); _ = c.Close() }()
	g.forward(x, c, c, "")
}

// forward copies bytes from b to a until the connection c of the caller is silent, and drops them then; in addition to "stall", the
// mode stallMode stalls this direction.
func (g *faultProxy) forward(a, b, c net.Conn, stallMode string) {
	p := make([]byte, 16<<10)
	for {
		n, err := b.Read(p)
		for m := g.state(); m == "stall" || stallMode != "" && m == stallMode; m = g.state() {
			time.Sleep(20 * time.Millisecond)
		}
		if g.state() == "delay" {
			time.Sleep(300 * time.Millisecond)
		}
		if n > 0 && !g.silent(c) {
			if _, e := a.Write(p[:n]); e != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
