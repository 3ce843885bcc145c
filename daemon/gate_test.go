package daemon

import (
	"net"
	"sync"
	"testing"
	"time"
)

// gate forwards connections and can hold them up.
type gate struct {
	to    string
	mu    sync.Mutex
	mode  string // What happens to bytes: "" (pass), delay, silence, deaf (nothing comes back) or reset.
	conns map[net.Conn]bool
}

// newGate returns a gate to address a and the address at which it listens.
func newGate(t *testing.T, a string) (*gate, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{to: a, conns: map[net.Conn]bool{}}
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

func (g *gate) state() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode
}

// set changes what happens to bytes from now on.
func (g *gate) set(m string) {
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

func (g *gate) keep(c net.Conn, v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v {
		g.conns[c] = true
		return
	}
	delete(g.conns, c)
}

func (g *gate) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	x, err := net.Dial("tcp", g.to)
	if err != nil || g.state() == "reset" {
		return
	}
	defer func() { _ = x.Close() }()
	g.keep(c, true)
	defer g.keep(c, false)
	go func() { g.copy(c, x, "deaf"); _ = c.Close() }()
	g.copy(x, c, "")
}

// copy forwards bytes from b to a; the mode one holds up only this direction.
func (g *gate) copy(a, b net.Conn, one string) {
	p := make([]byte, 16<<10)
	for {
		n, err := b.Read(p)
		for m := g.state(); m == "silence" || one != "" && m == one; m = g.state() {
			time.Sleep(20 * time.Millisecond)
		}
		if g.state() == "delay" {
			time.Sleep(300 * time.Millisecond)
		}
		if n > 0 {
			if _, e := a.Write(p[:n]); e != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
