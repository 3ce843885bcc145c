// Package peers knows the processes of the system: from their entries in the key-value service and from what they report.
package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	shardCount = 8
	// aliveTime is the age of the last report up to which a process counts as alive; reports come every 100 to 500 ms.
	aliveTime = 800 * time.Millisecond
	heardTime = 350 * time.Millisecond // The same for what others admit: three reports that come every 100 ms.
	// forgetTime is the age of the last report after which a process without an entry is forgotten. Until then it
	// may serve behind a partition, and is told what happens so that it can start again while the service is out.
	forgetTime = 20 * time.Second
	listTime   = 5 * time.Second // Time between reads of the entries.
	firstRetry = 200 * time.Millisecond
)

// Membership is the set of processes.
type Membership struct {
	self   bulrushlug.Member
	boot   uint64
	disk   string
	prefix string // Prefix of the entries.
	lease  time.Duration
	table  bulrushlug.TxnStore
	logger log.Logger
	shards [shardCount]shard
	lost   atomic.Bool // The last call for the own entry was not answered.
}

type shard struct {
	mu    sync.Mutex
	peers map[string]*Peer // By VM.
}

// New returns the processes with entries of t under p; self has an entry of its own while its lease of length d lasts.
func New(self bulrushlug.Member, boot uint64, disk string, t bulrushlug.TxnStore, p string, d time.Duration, l log.Logger) *Membership {
	x := &Membership{self: self, boot: boot, disk: disk, prefix: p, lease: d, table: t, logger: l}
	for i := range x.shards {
		x.shards[i].peers = map[string]*Peer{}
	}
	return x
}

// Self returns this process.
func (p *Membership) Self() bulrushlug.Member { return p.self }

// Disk returns the identity of the disk of this process.
func (p *Membership) Disk() string { return p.disk }

// Run keeps the own entry and reads the others until c ends.
func (p *Membership) Run(c context.Context) error {
	go p.keep(c)
	for d := firstRetry; c.Err() == nil; d = min(2*d, listTime) {
		if err := p.list(c); err != nil && c.Err() == nil {
			_ = p.logger.Log("event", "notListed", "err", err)
		}
		_ = bulrushlug.Sleep(c, d/2+rand.N(d))
	}
	return nil
}

// keep writes the own entry under a lease and renews the lease.
func (p *Membership) keep(c context.Context) {
	var lease uint64
	retry := firstRetry
	for c.Err() == nil {
		d := p.lease / 3
		if lease != 0 {
			err := p.table.Renew(c, lease)
			p.answered(err)
			if bulrushlug.KindOf(err) == bulrushlug.KindNotFound && err != nil {
				lease = 0
			}
		}
		if lease == 0 {
			l, err := p.register(c)
			p.answered(err)
			if err != nil && c.Err() == nil {
				_ = p.logger.Log("event", "notRegistered", "err", err)
				d = retry/2 + rand.N(retry)
				retry = min(2*retry, p.lease)
			} else {
				retry = firstRetry
			}
			lease = l
		}
		_ = bulrushlug.Sleep(c, d)
	}
	if lease == 0 {
		return
	}
	x, stop := context.WithTimeout(context.WithoutCancel(c), firstRetry)
	defer stop()
	if err := p.table.Revoke(x, lease); err != nil {
		_ = p.logger.Log("event", "leaseNotEnded", "err", err)
	}
}

// answered notes whether the service answered a call.
func (p *Membership) answered(err error) {
	k := bulrushlug.KindOf(err)
	p.lost.Store(err != nil && (k == bulrushlug.KindStoreDown || k == bulrushlug.KindUncertain || k == bulrushlug.KindRateLimited))
}

// StoreLost reports whether the service did not answer the last call for the own entry; one is made every third of the lease.
func (p *Membership) StoreLost() bool { return p.lost.Load() }

func (p *Membership) register(c context.Context) (uint64, error) {
	l, err := p.table.Grant(c, p.lease)
	if err != nil {
		return 0, err
	}
	b, err := proto.Marshal(&wire.MemberRecord{Vm: p.self.Name(), Address: p.self.Address(), Region: p.self.Region(),
		Zone: p.self.Zone(), Role: p.self.Role(), Disk: p.disk, Boot: p.boot})
	if err != nil {
		return 0, bulrushlug.WrapError(bulrushlug.KindInternal, p.self.Name(), err)
	}
	_, err = p.table.Commit(c, nil, []bulrushlug.Write{bulrushlug.PutWrite(p.prefix+p.self.Name(), b, l)})
	return l, err
}

// list reads the entries of all processes.
func (p *Membership) list(c context.Context) error {
	l, err := p.table.ListStale(c, p.prefix)
	if err != nil {
		return err
	}
	listed := map[string]*wire.MemberRecord{}
	for _, i := range l {
		w := &wire.MemberRecord{}
		if err := proto.Unmarshal(i.Value(), w); err != nil {
			_ = p.logger.Log("event", "badMember", "key", i.Key(), "err", err)
			continue
		}
		if w.Vm != p.self.Name() {
			listed[w.Vm] = w
		}
	}
	for vm, w := range listed {
		p.shard(vm).list(w)
	}
	for i := range p.shards {
		p.shards[i].forget(listed)
	}
	return nil
}

func (p *Membership) shard(vm string) *shard { return &p.shards[xxhash.Sum64String(vm)%shardCount] }

func (s *shard) list(w *wire.MemberRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.peers[w.Vm]
	if !ok {
		x = &Peer{}
		s.peers[w.Vm] = x
	}
	x.listed = true
	if w.Boot >= x.boot {
		x.boot, x.disk = w.Boot, w.Disk
		x.member = bulrushlug.NewMember(w.Vm, w.Address, w.Region, w.Zone, w.Role).WithData(w.Disk != "").WithLeaving(x.member.Leaving() && w.Boot == x.boot)
	}
}

// forget drops the processes that have no entry any more and are silent.
func (s *shard) forget(listed map[string]*wire.MemberRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, x := range s.peers {
		x.listed = listed[vm] != nil
		if !x.listed && x.SilentFor() > forgetTime {
			delete(s.peers, vm)
		}
	}
}

// ApplyReport notes the report r and says whether it is newer than the ones before.
func (p *Membership) ApplyReport(r bulrushlug.Report) bool {
	if r.Member().Name() == p.self.Name() {
		return false
	}
	return p.shard(r.Member().Name()).reported(r)
}

func (s *shard) reported(r bulrushlug.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := r.Member().Name()
	x, ok := s.peers[vm]
	if !ok {
		x = &Peer{}
		s.peers[vm] = x
	}
	if r.Boot() < x.boot || r.Boot() == x.boot && r.Sequence() <= x.sequence {
		return false
	}
	x.member, x.boot, x.sequence = r.Member(), r.Boot(), r.Sequence()
	x.disk, x.manifest, x.lost, x.heard = r.Disk(), r.Manifest(), r.StoreLost(), time.Now()
	return true
}

// All returns all other processes, sorted by name.
func (p *Membership) All() []Peer {
	var l []Peer
	for i := range p.shards {
		l = append(l, p.shards[i].all()...)
	}
	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.member.Name(), b.member.Name()) })
	return l
}

func (s *shard) all() (l []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.peers {
		l = append(l, *x)
	}
	return l
}

// LiveDataPeers returns the other processes with disks that are alive and not leaving.
func (p *Membership) LiveDataPeers() (l []Peer) {
	for _, x := range p.All() {
		if x.disk != "" && x.Alive() && !x.member.Leaving() {
			l = append(l, x)
		}
	}
	return l
}

// ByVM returns the process on VM vm.
func (p *Membership) ByVM(vm string) (Peer, bool) {
	s := p.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return *x, true
}

// ByDisk returns the process with disk d.
func (p *Membership) ByDisk(d string) (Peer, bool) {
	for _, x := range p.All() {
		if x.disk == d {
			return x, true
		}
	}
	return Peer{}, false
}

// CountHeard returns how many processes of this one's role are heard, and how many there are, this one included.
func (p *Membership) CountHeard() (heard, all int) {
	heard, all = 1, 1
	for _, x := range p.All() {
		if x.member.Role() != p.self.Role() || x.member.Leaving() {
			continue
		}
		all++
		if x.SilentFor() < heardTime {
			heard++
		}
	}
	return heard, all
}
