package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"
)

// portCrowd is a number of connections to the port on which the processes call each other.
type portCrowd struct {
	size  int
	vm    string
	first func() []byte // What each connection sends.
	part  []byte        // What it sends then, crowdParts times.
}

// halfMessage returns the beginning of a message, of about n bytes.
func halfMessage(n int) []byte {
	b := drpcwire.AppendFrame(nil, drpcwire.Frame{Kind: drpcwire.KindInvoke, ID: drpcwire.ID{Stream: 1, Message: 1}, Data: []byte("/wire.Lots/Submit"), Done: true})
	for len(b) < n {
		b = drpcwire.AppendFrame(b, drpcwire.Frame{Kind: drpcwire.KindMessage, ID: drpcwire.ID{Stream: 1, Message: 2}, Data: make([]byte, 16<<10)})
	}
	return b
}

// noise returns n random bytes.
func noise(n int) []byte {
	var seed [32]byte
	b := make([]byte, n)
	_, _ = rand.NewChaCha8(seed).Read(b)
	return b
}

// portCrowds are the crowds by what they send.
var portCrowds = map[string]portCrowd{
	"nothing":                     {size: 800, vm: "d0", first: func() []byte { return nil }},
	"nothing, to an entry":        {size: 800, vm: "e0", first: func() []byte { return nil }},
	"half messages":               {size: 300, vm: "d0", first: func() []byte { return halfMessage(1 << 20) }},
	"half messages, to an entry":  {size: 300, vm: "e0", first: func() []byte { return halfMessage(1 << 20) }},
	"one large half message":      {size: 4, vm: "d0", first: func() []byte { return halfMessage(31 << 20) }},
	"messages in parts":           {size: 800, vm: "d0", first: func() []byte { return halfMessage(0) }, part: halfMessage(16 << 10)},
	"calls that are never called": {size: 800, vm: "d0", first: func() []byte { return halfMessage(1) }},
	"noise":                       {size: 800, vm: "d0", first: func() []byte { return noise(64 << 10) }},
	"requests of a browser":       {size: 800, vm: "d0", first: func() []byte { return []byte(probeHead()) }},
}

// call opens the connections of x and returns once they have sent what they can.
func (x portCrowd) call(t *testing.T, address string) {
	b := x.first()
	tokens := make(chan bool, 64)
	for range x.size {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = c.Close() })
		tokens <- true
		go func() {
			defer func() { <-tokens }()
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err := c.Write(b)
			for n := 0; x.part != nil && n < crowdParts && err == nil; n++ {
				_, err = c.Write(x.part)
			}
		}()
	}
	for range cap(tokens) {
		tokens <- true
	}
}

// TestCrowdsOfProcesses guards against a process that outgrows its VM because of connections to the port on which the processes call
// each other. Requests and lots of callers go on meanwhile.
func TestCrowdsOfProcesses(t *testing.T) {
	binary := buildProgram(t)
	for name, x := range portCrowds {
		t.Run(name, func(t *testing.T) {
			s := newFloodSystem(t, binary, floods["large events"], lowLimits.settings(), lowLimits.settings())
			var most atomic.Int64
			c, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for ; c.Err() == nil; time.Sleep(20 * time.Millisecond) {
					most.Store(max(most.Load(), int64(s.descriptors(x.vm))))
				}
			}()
			x.call(t, s.listen[x.vm])
			if !s.served(c) {
				t.Error("an ordinary request is not answered")
			}
			accepted := false
			for begun := time.Now(); !accepted && time.Since(begun) < waitTimeout; time.Sleep(50 * time.Millisecond) {
				n, _ := s.call(c, "POST", "/in/l", "lot", lotBody("lot", 3))
				accepted = n == http.StatusAccepted
			}
			if !accepted || !s.readable("lot") {
				t.Errorf("a lot is accepted: %v; and can't be read", accepted)
			}
			peak, n := s.peak(x.vm), int(most.Load())
			t.Logf("%d MB at most; %d descriptors", peak>>20, n)
			if peak > lowLimits.megabytes<<20 {
				t.Errorf("the process had %d MB, its VM has %d MB", peak>>20, lowLimits.megabytes)
			}
			if n > lowLimits.descriptors {
				t.Errorf("the process had %d descriptors, its VM has %d", n, lowLimits.descriptors)
			}
		})
	}
}
