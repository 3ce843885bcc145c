// Package ports finds free addresses for programs on this machine.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

const (
	first = 20000 // Below the ports that systems give to outgoing connections.
	count = 12000 // Ports to choose from.
	step  = 97    // Distance of the first ports of two processes with adjacent identifiers.
)

// Allocator gives each port once.
type Allocator struct {
	mu   sync.Mutex
	next int // Offset of the next port to try.
}

// New returns ports that start at a place of their own for each process.
func New() *Allocator { return &Allocator{next: os.Getpid() * step % count} }

// Next returns a loopback address that is free for TCP and UDP.
func (p *Allocator) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range count {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(first+p.next))
		p.next = (p.next + 1) % count
		if free(a) {
			return a, nil
		}
	}
	return "", bulrushlug.Errorf(bulrushlug.KindInternal, "no port is free")
}

func free(a string) bool {
	l, err := net.Listen("tcp", a)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", a)
	if err != nil {
		return false
	}
	return u.Close() == nil
}
