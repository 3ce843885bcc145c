// Package dgram sends small messages between processes as encrypted UDP datagrams.
package dgram

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/guard"
)

const (
	maxDatagram = 60 * 1024   // Largest encoded message in bytes, before encryption.
	stopTimeout = time.Second // Longest wait for the event loops to stop.
)

// Transport receives on one UDP address with the event loops of gnet, and sends from a socket of its own.
//
// It does not send through gnet's connected client sockets: the event loop closes such a socket when its peer is down,
// and later writes go to whichever file has taken over the descriptor.
type Transport struct {
	gnet.BuiltinEventEngine
	vm      string
	address string
	sealer  *sealer
	handle  atomic.Pointer[func(bulrushlug.Message)]
	guard   *guard.Guard
	engine  gnet.Engine
	booted  chan struct{}
	sender  *net.UDPConn // Safe for use by several goroutines.
	counts  *expvar.Map
}

// New returns the transport of VM v, which listens on address a and handles messages under g; secrets are the shared keys
// in hex, and counts gets the numbers of messages and bytes.
func New(v, a string, secrets []string, g *guard.Guard, counts *expvar.Map) (*Transport, error) {
	s, err := newSealer(secrets)
	if err != nil {
		return nil, err
	}
	o, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, a, err)
	}
	return &Transport{vm: v, address: a, sealer: s, guard: g, booted: make(chan struct{}), sender: o, counts: counts}, nil
}

// OnMessage sets the handler of received messages, which must not block.
func (m *Transport) OnMessage(f func(bulrushlug.Message)) { m.handle.Store(&f) }

// Run receives until c ends.
func (m *Transport) Run(c context.Context) error {
	defer func() { _ = m.sender.Close() }()
	done := make(chan error, 1)
	go func() {
		done <- gnet.Run(m, "udp://"+m.address, gnet.WithReusePort(false), gnet.WithLogger(quietLogger{}))
	}()
	select {
	case err := <-done:
		return bulrushlug.WrapError(bulrushlug.KindInternal, m.address, err)
	case <-c.Done():
	}
	x, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	<-m.booted
	_ = m.engine.Stop(x)
	return nil
}

// OnBoot stores the engine once the event loops run.
func (m *Transport) OnBoot(e gnet.Engine) gnet.Action {
	m.engine = e
	close(m.booted)
	return gnet.None
}

// OnTraffic decrypts one datagram and delivers its message; datagrams that fail authentication are dropped.
func (m *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	p, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	m.counts.Add("bytesIn", int64(len(p)))
	m.protect(func() { m.receive(p) })
	return gnet.None
}

// protect calls f, and counts a panic.
func (m *Transport) protect(f func()) {
	if err := m.guard.Do("datagram", f); err != nil {
		m.counts.Add("panics", 1)
	}
}

// receive handles the datagram p.
func (m *Transport) receive(p []byte) {
	b, ok := m.sealer.open(p)
	if !ok {
		m.counts.Add("notAuthentic", 1)
		return
	}
	x, err := codec.DecodePacket(b)
	if err != nil {
		m.counts.Add("notDecoded", 1)
		return
	}
	m.counts.Add("messagesIn", 1)
	m.deliver(x)
}

func (m *Transport) deliver(x bulrushlug.Message) {
	if f := m.handle.Load(); f != nil {
		(*f)(x)
	}
}

// Send sends x to the process at a, without a guarantee of delivery; a message that can't be sent is dropped.
func (m *Transport) Send(a string, x bulrushlug.Message) { m.SendAll([]string{a}, x) }

// SendAll sends x to the processes at the addresses of l as Send does; x is encoded once.
func (m *Transport) SendAll(l []string, x bulrushlug.Message) {
	x = x.WithSender(m.vm, m.address)
	b, err := codec.EncodePacket(x)
	if err != nil || len(b) > maxDatagram {
		m.counts.Add("notSent", int64(len(l)))
		return
	}
	for _, a := range l {
		if a == m.address {
			go m.protect(func() { m.deliver(x) })
			continue
		}
		m.send(a, m.sealer.seal(b))
	}
}

// send writes the datagram b to the process at a, and counts it.
func (m *Transport) send(a string, b []byte) {
	if err := m.write(a, b); err != nil {
		m.counts.Add("notSent", 1)
		return
	}
	m.counts.Add("messagesOut", 1)
	m.counts.Add("bytesOut", int64(len(b)))
}

func (m *Transport) write(a string, b []byte) error {
	p, err := netip.ParseAddrPort(a)
	if err != nil {
		return err
	}
	_, err = m.sender.WriteToUDPAddrPort(b, p)
	return err
}
