// Package ports allocates loopback ports for the programs of demonstrations and tests.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

const (
	firstPort     = 20000 // Below the ephemeral port range of common systems.
	portCount     = 12000 // Number of ports in the range.
	processStride = 97    // Offset between processes with consecutive identifiers.
)

// Allocator hands out ports in turn, so that none is reused before all have been tried.
type Allocator struct {
	mu   sync.Mutex
	next int // Offset of the next port to try.
}

// New returns an allocator that starts at an offset derived from the process identifier, so that processes running in
// parallel rarely try the same ports.
func New() *Allocator { return &Allocator{next: os.Getpid() * processStride % portCount} }

// Next returns host:port on the loopback interface, free for both TCP and UDP at the time of the call.
func (p *Allocator) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portCount {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+p.next))
		p.next = (p.next + 1) % portCount
		if isFree(a) {
			return a, nil
		}
	}
	return "", bulrushlug.Errorf(bulrushlug.KindInternal, "no free loopback port")
}

func isFree(a string) bool {
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
