// Package memnet is an in-memory network for messages, which can be told to delay, lose and cut.
package memnet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

const (
	shardCount  = 16
	packetBytes = 28 + 40 // Headers of IP and UDP, and what sealing adds.
)

// Network carries messages between the processes that joined.
type Network struct {
	delay  func(from, to bulrushlug.Member) time.Duration
	loss   float64 // Share of the messages that are lost.
	shards [shardCount]shard
	mu     sync.RWMutex // Guards the fields below.
	cut    func(from, to bulrushlug.Member) bool
	seen   func(from bulrushlug.Member, m bulrushlug.Message)
	random *rand.Rand
}

type shard struct {
	mu    sync.Mutex
	ports map[string]*port // By address.
}

// port is one process on the network.
type port struct {
	net    *Network
	self   bulrushlug.Member
	handle func(bulrushlug.Message)
	config func() *bulrushlug.Config
	mu     sync.Mutex // Guards the fields below.
	out    uint64     // Bytes sent.
	in     uint64     // Bytes received.
	held   []func()   // Messages that came while the process was paused.
	paused bool
	dead   bool
}

// New returns a network with one-way delays by f, which loses the given share of messages; seed makes it repeatable.
func New(seed uint64, loss float64, f func(from, to bulrushlug.Member) time.Duration) *Network {
	n := &Network{delay: f, loss: loss, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range n.shards {
		n.shards[i].ports = map[string]*port{}
	}
	return n
}

func (n *Network) shard(a string) *shard { return &n.shards[xxhash.Sum64String(a)%shardCount] }

func (n *Network) port(a string) *port {
	s := n.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ports[a]
}

// Join adds the process m, whose messages f handles and whose configuration g gives.
func (n *Network) Join(m bulrushlug.Member, f func(bulrushlug.Message), g func() *bulrushlug.Config) {
	s := n.shard(m.Address())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ports[m.Address()] = &port{net: n, self: m, handle: f, config: g}
}

// SetPartition loses all messages for which f is true; nil ends that.
func (n *Network) SetPartition(f func(from, to bulrushlug.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// OnSend calls f with each message as it is sent by a process that is neither dead nor paused.
func (n *Network) OnSend(f func(from bulrushlug.Member, m bulrushlug.Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = f
}

func (n *Network) observer() func(bulrushlug.Member, bulrushlug.Message) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.seen
}

// Kill takes the process at address a off the network.
func (n *Network) Kill(a string) {
	p := n.port(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// SetPaused holds the messages to address a while v is true.
func (n *Network) SetPaused(a string, v bool) {
	p := n.port(a)
	p.mu.Lock()
	p.paused = v
	l := p.held
	p.held = nil
	p.mu.Unlock()
	if !v {
		for _, f := range l {
			f()
		}
	}
}

// Bytes returns the bytes that the process at address a sent and received.
func (n *Network) Bytes(a string) (out, in uint64) {
	p := n.port(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out, p.in
}

// lost reports whether a message from m to o does not arrive.
func (n *Network) lost(m, o bulrushlug.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(m, o) || n.loss > 0 && n.random.Float64() < n.loss
}

// Mesh returns the mesh of the process m.
func (n *Network) Mesh(m bulrushlug.Member) bulrushlug.Messenger { return &mesh{net: n, self: m} }

type mesh struct {
	net  *Network
	self bulrushlug.Member
}

// Send carries x to the process at address a, as its decoded encoding.
func (x *mesh) Send(a string, m bulrushlug.Message) {
	b, err := codec.EncodePacket(m.WithSender(x.self.Name(), x.self.Address()))
	if err != nil {
		return
	}
	from, to := x.net.port(x.self.Address()), x.net.port(a)
	if from == nil || !from.send(len(b)+packetBytes) {
		return
	}
	if f := x.net.observer(); f != nil {
		f(x.self, m)
	}
	if to == nil || x.net.lost(x.self, to.self) {
		return
	}
	time.AfterFunc(x.net.delay(x.self, to.self), func() { to.receive(b) })
}

func (p *port) send(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out += uint64(n)
	return !p.dead && !p.paused
}

func (p *port) receive(b []byte) {
	p.mu.Lock()
	p.in += uint64(len(b) + packetBytes)
	if p.paused {
		p.held = append(p.held, func() { p.receive(b) })
		p.mu.Unlock()
		return
	}
	dead := p.dead
	p.mu.Unlock()
	if dead {
		return
	}
	if m, err := codec.DecodePacket(b); err == nil {
		p.handle(m)
	}
}

// reach returns the process at address a after a round trip, if m reaches it.
func (n *Network) reach(c context.Context, m bulrushlug.Member, a string) (*port, error) {
	p := n.port(a)
	if p == nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "%s: nothing there", a)
	}
	p.mu.Lock()
	down := p.dead || p.paused
	p.mu.Unlock()
	if down || n.lost(m, p.self) || n.lost(p.self, m) {
		<-c.Done()
		return nil, c.Err()
	}
	return p, bulrushlug.Sleep(c, 2*n.delay(m, p.self))
}

// PeerClient returns the calls that the process m makes to others.
func (n *Network) PeerClient(m bulrushlug.Member) interface {
	bulrushlug.Puller
	bulrushlug.Prober
} {
	return &calls{net: n, self: m}
}

type calls struct {
	net  *Network
	self bulrushlug.Member
}

// Probe returns an error if the process at a does not answer.
func (x *calls) Probe(c context.Context, a string) error {
	_, err := x.net.reach(c, x.self, a)
	return err
}

// Pull returns the configuration that the process at a has.
func (x *calls) Pull(c context.Context, a string, _ uint64) (*bulrushlug.Config, error) {
	p, err := x.net.reach(c, x.self, a)
	if err != nil {
		return nil, err
	}
	f := p.config()
	return bulrushlug.RestoreConfig(f.Revision(), f.Entities()), nil
}
