// Package memnet is an in-memory network for messages, which simulates latency, loss, partitions and paused processes.
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
	shardCount    = 16
	overheadBytes = 28 + 40 // IPv4 and UDP headers, and the nonce and tag of the encryption.
)

// Network delivers messages between the processes that joined it.
type Network struct {
	delay     func(from, to bulrushlug.Member) time.Duration // One-way latency.
	loss      float64                                        // Share of the messages that are dropped, from 0 to 1.
	shards    [shardCount]shard
	mu        sync.RWMutex // Guards the fields below.
	partition func(from, to bulrushlug.Member) bool
	sendHook  func(from bulrushlug.Member, m bulrushlug.Message)
	random    *rand.Rand
}

// shard holds the endpoints whose addresses hash to it.
type shard struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint // By address, host:port.
}

// endpoint is the attachment of one process to the network.
type endpoint struct {
	net           *Network
	self          bulrushlug.Member
	handle        func(bulrushlug.Message)
	config        func() *bulrushlug.Config
	mu            sync.Mutex // Guards the fields below.
	bytesSent     uint64     // Headers included.
	bytesReceived uint64     // Headers included.
	heldMessages  []func()   // Deliveries to repeat once the process is no longer paused.
	paused        bool
	dead          bool
}

// New returns a network with the one-way latency f, which drops the share loss of all messages, from 0 to 1; seed makes
// the losses reproducible.
func New(seed uint64, loss float64, f func(from, to bulrushlug.Member) time.Duration) *Network {
	n := &Network{delay: f, loss: loss, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range n.shards {
		n.shards[i].endpoints = map[string]*endpoint{}
	}
	return n
}

func (n *Network) shard(a string) *shard { return &n.shards[xxhash.Sum64String(a)%shardCount] }

func (n *Network) endpoint(a string) *endpoint {
	s := n.shard(a)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[a]
}

// Join attaches the process m; f handles its incoming messages and g returns its configuration for pulls by peers.
func (n *Network) Join(m bulrushlug.Member, f func(bulrushlug.Message), g func() *bulrushlug.Config) {
	s := n.shard(m.Address())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[m.Address()] = &endpoint{net: n, self: m, handle: f, config: g}
}

// SetPartition drops all messages for which f returns true; nil heals the partition.
func (n *Network) SetPartition(f func(from, to bulrushlug.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = f
}

// OnSend registers f to be called with each message that a process sends, unless that process is dead or paused.
func (n *Network) OnSend(f func(from bulrushlug.Member, m bulrushlug.Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sendHook = f
}

func (n *Network) currentSendHook() func(bulrushlug.Member, bulrushlug.Message) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.sendHook
}

// Kill detaches the process at address a as after a crash: its messages are no longer sent or delivered.
func (n *Network) Kill(a string) {
	p := n.endpoint(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// SetPaused simulates a paused process: while v is true, messages to address a are held and those from it are dropped.
func (n *Network) SetPaused(a string, v bool) {
	p := n.endpoint(a)
	p.mu.Lock()
	p.paused = v
	l := p.heldMessages
	p.heldMessages = nil
	p.mu.Unlock()
	if !v {
		for _, f := range l {
			f()
		}
	}
}

// Bytes returns the bytes that the process at address a sent and received, headers included.
func (n *Network) Bytes(a string) (out, in uint64) {
	p := n.endpoint(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytesSent, p.bytesReceived
}

// dropped decides whether a message from m to o is dropped, by a partition or at random.
func (n *Network) dropped(m, o bulrushlug.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition != nil && n.partition(m, o) || n.loss > 0 && n.random.Float64() < n.loss
}

// Messenger returns the messenger with which the process m sends.
func (n *Network) Messenger(m bulrushlug.Member) bulrushlug.Messenger {
	return &messenger{net: n, self: m}
}

// messenger sends the messages of one process.
type messenger struct {
	net  *Network
	self bulrushlug.Member
}

// SendAll sends m to each address of l.
func (x *messenger) SendAll(l []string, m bulrushlug.Message) {
	for _, a := range l {
		x.Send(a, m)
	}
}

// Send encodes m and delivers its decoded copy to address a after the latency of the link.
func (x *messenger) Send(a string, m bulrushlug.Message) {
	b, err := codec.EncodePacket(m.WithSender(x.self.Name(), x.self.Address()))
	if err != nil {
		return
	}
	from, to := x.net.endpoint(x.self.Address()), x.net.endpoint(a)
	if from == nil || !from.send(len(b)+overheadBytes) {
		return
	}
	if f := x.net.currentSendHook(); f != nil {
		f(x.self, m)
	}
	if to == nil || x.net.dropped(x.self, to.self) {
		return
	}
	time.AfterFunc(x.net.delay(x.self, to.self), func() { to.receive(b) })
}

// send counts n sent bytes and reports whether the process is running.
func (p *endpoint) send(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesSent += uint64(n)
	return !p.dead && !p.paused
}

// receive decodes and handles the datagram b, or holds it while the process is paused.
func (p *endpoint) receive(b []byte) {
	p.mu.Lock()
	p.bytesReceived += uint64(len(b) + overheadBytes)
	if p.paused {
		p.heldMessages = append(p.heldMessages, func() { p.receive(b) })
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

// roundTrip waits for one round trip from m to address a and returns its endpoint.
//
// If either direction is dropped, or the process is dead or paused, it blocks until c ends, like a call without a response.
func (n *Network) roundTrip(c context.Context, m bulrushlug.Member, a string) (*endpoint, error) {
	p := n.endpoint(a)
	if p == nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "%s: no process at this address", a)
	}
	p.mu.Lock()
	down := p.dead || p.paused
	p.mu.Unlock()
	if down || n.dropped(m, p.self) || n.dropped(p.self, m) {
		<-c.Done()
		return nil, c.Err()
	}
	return p, bulrushlug.Sleep(c, 2*n.delay(m, p.self))
}

// PeerClient returns the client with which the process m probes its peers and pulls their configuration.
func (n *Network) PeerClient(m bulrushlug.Member) interface {
	bulrushlug.Puller
	bulrushlug.Prober
} {
	return &peerClient{net: n, self: m}
}

// peerClient makes the calls of one process to its peers.
type peerClient struct {
	net  *Network
	self bulrushlug.Member
}

// Probe returns an error if the process at address a does not respond before c ends.
func (x *peerClient) Probe(c context.Context, a string) error {
	_, err := x.net.roundTrip(c, x.self, a)
	return err
}

// Pull returns the configuration of the process at address a.
func (x *peerClient) Pull(c context.Context, a string, _ uint64) (*bulrushlug.Config, error) {
	p, err := x.net.roundTrip(c, x.self, a)
	if err != nil {
		return nil, err
	}
	f := p.config()
	return bulrushlug.RestoreConfig(f.Revision(), f.Entities()), nil
}
