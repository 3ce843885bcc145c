// Package mesh sends small messages between processes as sealed datagrams.
package mesh

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/gnet/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

const (
	shardCount   = 8
	maxDatagram  = 60 * 1024   // Bytes of a sealed message.
	peersPerPart = 512         // Peers that one shard keeps connections to.
	stopTimeout  = time.Second // Bounds the end of the event loops.
)

// Mesh receives on one UDP address and sends to any.
type Mesh struct {
	gnet.BuiltinEventEngine
	vm      string
	address string
	seal    *seal
	handle  atomic.Pointer[func(bulrushlug.Message)]
	engine  gnet.Engine
	client  *gnet.Client
	booted  chan struct{}
	shards  [shardCount]shard
	counts  *expvar.Map
}

type shard struct {
	mu    sync.Mutex
	conns map[string]gnet.Conn // By address.
}

// New returns the mesh of VM v, which listens on address a; counts gets the numbers of messages and bytes.
func New(v, a string, secrets []string, counts *expvar.Map) (*Mesh, error) {
	s, err := newSeal(secrets)
	if err != nil {
		return nil, err
	}
	m := &Mesh{vm: v, address: a, seal: s, booted: make(chan struct{}), counts: counts}
	for i := range m.shards {
		m.shards[i].conns = map[string]gnet.Conn{}
	}
	return m, nil
}

// OnMessage sets the function that handles messages; it must not block.
func (m *Mesh) OnMessage(f func(bulrushlug.Message)) { m.handle.Store(&f) }

// Run receives until c ends.
func (m *Mesh) Run(c context.Context) error {
	k, err := gnet.NewClient(&gnet.BuiltinEventEngine{}, gnet.WithLogger(quiet{}))
	if err != nil {
		return bulrushlug.WrapFault(bulrushlug.KindInternal, m.address, err)
	}
	if err := k.Start(); err != nil {
		return bulrushlug.WrapFault(bulrushlug.KindInternal, m.address, err)
	}
	m.client = k
	defer func() { _ = k.Stop() }()
	done := make(chan error, 1)
	go func() {
		done <- gnet.Run(m, "udp://"+m.address, gnet.WithReusePort(false), gnet.WithLogger(quiet{}))
	}()
	select {
	case err := <-done:
		return bulrushlug.WrapFault(bulrushlug.KindInternal, m.address, err)
	case <-c.Done():
	}
	x, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	<-m.booted
	_ = m.engine.Stop(x)
	return nil
}

// OnBoot notes that the event loops run.
func (m *Mesh) OnBoot(e gnet.Engine) gnet.Action {
	m.engine = e
	close(m.booted)
	return gnet.None
}

// OnTraffic opens one datagram and hands it on; a datagram that doesn't open is dropped.
func (m *Mesh) OnTraffic(c gnet.Conn) gnet.Action {
	p, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	m.counts.Add("bytesIn", int64(len(p)))
	b, ok := m.seal.open(p)
	if !ok {
		m.counts.Add("notAuthentic", 1)
		return gnet.None
	}
	x, err := codec.DecodePacket(b)
	if err != nil {
		m.counts.Add("notDecoded", 1)
		return gnet.None
	}
	m.counts.Add("messagesIn", 1)
	m.deliver(x)
	return gnet.None
}

func (m *Mesh) deliver(x bulrushlug.Message) {
	if f := m.handle.Load(); f != nil {
		(*f)(x)
	}
}

// Send sends x to the process at a; what can't be sent is dropped.
func (m *Mesh) Send(a string, x bulrushlug.Message) {
	x = x.Stamped(m.vm, m.address)
	if a == m.address {
		go m.deliver(x)
		return
	}
	b, err := codec.EncodePacket(x)
	if err != nil || len(b) > maxDatagram {
		m.counts.Add("notSent", 1)
		return
	}
	b = m.seal.close(b)
	k, err := m.conn(a)
	if err == nil {
		_, err = k.Write(b)
	}
	if err != nil {
		m.counts.Add("notSent", 1)
		m.forget(a)
		return
	}
	m.counts.Add("messagesOut", 1)
	m.counts.Add("bytesOut", int64(len(b)))
}

func (m *Mesh) shard(a string) *shard { return &m.shards[xxhash.Sum64String(a)%shardCount] }

func (m *Mesh) conn(a string) (gnet.Conn, error) {
	select {
	case <-m.booted:
	default:
		return nil, bulrushlug.NewFault(bulrushlug.KindUnplaceable, "%s: not started", m.address)
	}
	s := m.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.conns[a]; ok {
		return k, nil
	}
	k, err := m.client.Dial("udp", a)
	if err != nil {
		return nil, err
	}
	if len(s.conns) >= peersPerPart {
		s.closeOne()
	}
	s.conns[a] = k
	return k, nil
}

func (s *shard) closeOne() {
	for a, k := range s.conns {
		_ = k.Close()
		delete(s.conns, a)
		return
	}
}

func (m *Mesh) forget(a string) {
	s := m.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.conns[a]; ok {
		_ = k.Close()
		delete(s.conns, a)
	}
}
