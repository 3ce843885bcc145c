// Package peers tracks the processes of the system: their entries in the key-value service, and their reports.
package peers

import (
	"cmp"
	"context"
	"maps"
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
	shardCount      = 8
	minInterval     = 100 * time.Millisecond // Time between reports in a small system.
	maxInterval     = 500 * time.Millisecond // Longest time between reports; less than half of the time after which package slots ignores the load that a process reported.
	intervalPerPeer = 8 * time.Millisecond   // Time between reports grows by this for each other process, which bounds what one process receives.
	// aliveTimeout is the age of the last report at which a process counts as failed, or lostReports intervals if that is
	// more: one lost report is no failure.
	aliveTimeout = 800 * time.Millisecond
	lostReports  = 2.5
	// heardTimeout is the age of the last report at which a process no longer counts as heard when rate limits are divided
	// among processes; it covers three reports at intervals of 100 ms. It is lostReports intervals if that is more.
	heardTimeout = 350 * time.Millisecond
	// forgetTimeout is the age of the last report after which a process without an entry is removed. Until then it may
	// serve behind a partition, and must receive reports so that it can restart while the key-value service is down.
	forgetTimeout = 20 * time.Second
	listInterval  = 5 * time.Second // Time between reads of the entries.
	// minRenewal is the shortest time between two renewals of the lease of a process's entry. It grows by renewalPerPeer for
	// each other process, which bounds the calls of all, up to a third of the lease.
	minRenewal     = time.Second
	renewalPerPeer = 30 * time.Millisecond
	// lookoutRenewal is the time between renewals of a process on which others rely to see changes: a service that does not answer
	// it any more shows by the next renewal. A renewal costs a tenth of a read.
	lookoutRenewal = 250 * time.Millisecond
	initialBackoff = 200 * time.Millisecond
)

// Membership holds the state of the other processes, sharded by VM, and registers this one.
type Membership struct {
	self      bulrushlug.Member
	boot      uint64
	diskID    string
	prefix    string // Key prefix of the entries.
	lease     time.Duration
	store     bulrushlug.TxnStore
	logger    log.Logger
	lookout   func() bool // Whether others rely on this process to see changes of the key-value service.
	shards    [shardCount]shard
	storeLost atomic.Bool   // The last call for this process's entry failed.
	version   atomic.Uint64 // Increases when a process comes or goes.
	listed    atomic.Bool   // The entries were read once.
	role      atomic.Pointer[nameList]
	sorted    atomic.Pointer[nameList]
}

// nameList holds the VMs of the other processes, sorted.
type nameList struct {
	version uint64 // Version of the membership.
	vms     []string
}

type shard struct {
	mu    sync.Mutex
	peers map[string]*Peer // By VM.
}

// option configures a membership.
type option func(p *Membership)

// WithLookout makes the process renew its lease often while f reports that others rely on it to see changes.
func WithLookout(f func() bool) option { return func(p *Membership) { p.lookout = f } }

// New returns the membership whose entries in t have key prefix p. Run registers self, with the given disk
// identifier, under a lease with time to live d.
func New(self bulrushlug.Member, boot uint64, disk string, t bulrushlug.TxnStore, p string, d time.Duration, l log.Logger, o ...option) *Membership {
	x := &Membership{self: self, boot: boot, diskID: disk, prefix: p, lease: d, store: t, logger: l, lookout: func() bool { return false }}
	for _, f := range o {
		f(x)
	}
	for i := range x.shards {
		x.shards[i].peers = map[string]*Peer{}
	}
	return x
}

// ReportInterval returns the time between two reports of a process that knows n others.
func ReportInterval(n int) time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(n)*intervalPerPeer))
}

// renewalInterval returns the time between two renewals of the lease.
func (p *Membership) renewalInterval() time.Duration {
	return min(p.lease/3, max(minRenewal, time.Duration(len(p.names()))*renewalPerPeer))
}

// silence returns the age of the last report at which a process counts as silent: d, or lostReports intervals if that is
// more.
func (p *Membership) silence(d time.Duration) time.Duration {
	return max(d, time.Duration(lostReports*float64(ReportInterval(len(p.names())))))
}

// Self returns this process.
func (p *Membership) Self() bulrushlug.Member { return p.self }

// DiskID returns the identifier of the disk of this process.
func (p *Membership) DiskID() string { return p.diskID }

// Run keeps this process registered and reads the other entries until c ends.
func (p *Membership) Run(c context.Context) error {
	go p.maintainEntry(c)
	for d := initialBackoff; c.Err() == nil; d = min(2*d, listInterval) {
		if err := p.list(c); err != nil && c.Err() == nil {
			_ = p.logger.Log("event", "notListed", "err", err)
		}
		_ = bulrushlug.Sleep(c, d/2+rand.N(d))
	}
	return nil
}

// maintainEntry registers this process under a lease, renews the lease, and revokes it when c ends.
func (p *Membership) maintainEntry(c context.Context) {
	var lease uint64
	retry := initialBackoff
	for c.Err() == nil {
		if lease != 0 {
			err := p.store.Renew(c, lease)
			p.recordStoreResult(err)
			if bulrushlug.KindOf(err) == bulrushlug.KindNotFound && err != nil {
				lease = 0
			}
		}
		if lease == 0 {
			l, err := p.register(c)
			p.recordStoreResult(err)
			if err != nil && c.Err() == nil {
				_ = p.logger.Log("event", "notRegistered", "err", err)
				_ = bulrushlug.Sleep(c, retry/2+rand.N(retry))
				retry = min(2*retry, p.lease)
				continue
			}
			retry = initialBackoff
			lease = l
		}
		p.awaitRenewal(c)
	}
	if lease == 0 {
		return
	}
	x, stop := context.WithTimeout(context.WithoutCancel(c), initialBackoff)
	defer stop()
	if err := p.store.Revoke(x, lease); err != nil {
		_ = p.logger.Log("event", "leaseNotEnded", "err", err)
	}
}

// awaitRenewal waits until the lease is to be renewed.
func (p *Membership) awaitRenewal(c context.Context) {
	for last := time.Now(); time.Since(last) < p.renewalInterval(); {
		if bulrushlug.Sleep(c, lookoutRenewal) != nil || p.lookout() {
			return
		}
	}
}

// recordStoreResult records whether the key-value service answered a call.
func (p *Membership) recordStoreResult(err error) {
	k := bulrushlug.KindOf(err)
	p.storeLost.Store(err != nil && (k == bulrushlug.KindStoreDown || k == bulrushlug.KindUncertain || k == bulrushlug.KindRateLimited))
}

// StoreLost reports whether the key-value service failed to answer the last call for this process's entry; the lease is
// renewed every second or, in a large system, every third of its length.
func (p *Membership) StoreLost() bool { return p.storeLost.Load() }

// register writes the entry of this process under a new lease, which it returns; the lease of an entry that could not be
// written expires by itself.
func (p *Membership) register(c context.Context) (uint64, error) {
	l, err := p.store.Grant(c, p.lease)
	if err != nil {
		return 0, err
	}
	b, err := proto.Marshal(&wire.MemberRecord{Vm: p.self.Name(), Address: p.self.Address(), Region: p.self.Region(),
		Zone: p.self.Zone(), Role: p.self.Role(), Disk: p.diskID, Boot: p.boot})
	if err != nil {
		return 0, bulrushlug.WrapError(bulrushlug.KindInternal, p.self.Name(), err)
	}
	if _, err := p.store.Commit(c, nil, []bulrushlug.Write{bulrushlug.PutWrite(p.prefix+p.self.Name(), b, l)}); err != nil {
		return 0, err
	}
	return l, nil
}

// list reads the entries of all processes and updates the members.
func (p *Membership) list(c context.Context) error {
	l, err := p.store.ListStale(c, p.prefix)
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
	d := p.silence(aliveTimeout)
	for vm, w := range listed {
		p.shard(vm).putRecord(w, d)
	}
	for i := range p.shards {
		p.shards[i].forget(listed)
	}
	p.listed.Store(true)
	p.version.Add(1)
	return nil
}

func (p *Membership) shard(vm string) *shard { return &p.shards[xxhash.Sum64String(vm)%shardCount] }

// putRecord stores the entry w, unless it is of an earlier start or a process whose last report is less than d old reports
// another start; entries may be seconds old.
func (s *shard) putRecord(w *wire.MemberRecord, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.peers[w.Vm]
	if !ok {
		x = &Peer{}
		s.peers[w.Vm] = x
	}
	x.registered = true
	if w.Boot == x.boot || w.Boot > x.boot && x.SilentFor() >= d {
		x.boot, x.diskID = w.Boot, w.Disk
		x.member = bulrushlug.NewMember(w.Vm, w.Address, w.Region, w.Zone, w.Role).WithDataFolder(w.Disk != "").WithLeaving(x.member.Leaving() && w.Boot == x.boot)
	}
}

// forget removes processes without an entry that have been silent for forgetTimeout.
func (s *shard) forget(listed map[string]*wire.MemberRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, x := range s.peers {
		x.registered = listed[vm] != nil
		if !x.registered && x.SilentFor() > forgetTimeout {
			delete(s.peers, vm)
		}
	}
}

// ApplyReport stores r unless it is out of date, and reports whether it did.
func (p *Membership) ApplyReport(r bulrushlug.Report) bool {
	if r.Member().Name() == p.self.Name() {
		return false
	}
	accepted, added := p.shard(r.Member().Name()).applyReport(r, p.silence(aliveTimeout))
	if added {
		p.version.Add(1)
	}
	return accepted
}

// applyReport stores r unless it is out of date; added means that its process is new.
//
// A start that seems to be the earlier one counts once the later one is silent for d: the clock may have been set back
// between them.
func (s *shard) applyReport(r bulrushlug.Report, d time.Duration) (accepted, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := r.Member().Name()
	x, ok := s.peers[vm]
	if !ok {
		x = &Peer{}
		s.peers[vm] = x
	}
	if r.Boot() < x.boot && x.SilentFor() < d || r.Boot() == x.boot && r.Sequence() <= x.sequence {
		return false, !ok
	}
	x.member, x.boot, x.sequence = r.Member(), r.Boot(), r.Sequence()
	x.diskID, x.manifest, x.storeLost, x.lastHeard = r.Disk(), r.Manifest(), r.StoreLost(), time.Now()
	return true, !ok
}

// All returns all other processes, sorted by VM.
func (p *Membership) All() []Peer {
	names := p.names()
	l := make([]Peer, 0, len(names))
	for _, vm := range names {
		if x, ok := p.ByVM(vm); ok {
			l = append(l, x)
		}
	}
	return l
}

// names returns the VMs of the other processes, sorted again if one came or went; the caller must not change the list.
func (p *Membership) names() []string {
	v := p.version.Load()
	if o := p.sorted.Load(); o != nil && o.version == v {
		return o.vms
	}
	o := &nameList{version: v}
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		o.vms = slices.AppendSeq(o.vms, maps.Keys(s.peers))
		s.mu.Unlock()
	}
	slices.Sort(o.vms)
	p.sorted.Store(o)
	return o.vms
}

// SameRole returns the VMs of the processes of this one's role, itself included and whether they are heard or not, and a
// version that changes with the membership. The list is nil until the entries were read; the caller must not change it.
func (p *Membership) SameRole() (vms []string, version uint64) {
	if !p.listed.Load() {
		return nil, 0
	}
	v := p.version.Load()
	if o := p.role.Load(); o != nil && o.version == v {
		return o.vms, v
	}
	o := &nameList{version: v, vms: []string{p.self.Name()}}
	for i := range p.shards {
		o.vms = p.shards[i].appendRole(o.vms, p.self.Role())
	}
	slices.Sort(o.vms)
	p.role.Store(o)
	return o.vms, v
}

// appendRole appends the VMs of the processes of role r to l.
func (s *shard) appendRole(l []string, r string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm, x := range s.peers {
		if x.member.Role() == r {
			l = append(l, vm)
		}
	}
	return l
}

// LiveDataPeers returns the other processes that have a disk, are alive and are not leaving, sorted by VM.
func (p *Membership) LiveDataPeers() (l []Peer) {
	d := p.silence(aliveTimeout)
	for i := range p.shards {
		l = append(l, p.shards[i].liveDataPeers(d)...)
	}
	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.member.Name(), b.member.Name()) })
	return l
}

// liveDataPeers returns the processes with a disk that are not leaving and whose last report is at most d old.
func (s *shard) liveDataPeers(d time.Duration) (l []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.peers {
		if x.diskID == "" || x.member.Leaving() {
			continue
		}
		if y := x.withTimeout(d); y.Alive() {
			l = append(l, y)
		}
	}
	return l
}

// ByVM returns the process on VM vm.
func (p *Membership) ByVM(vm string) (Peer, bool) {
	d := p.silence(aliveTimeout) // Locks the shards itself if a process came or went.
	s := p.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return x.withTimeout(d), true
}

// ByDisk returns the process whose disk has identifier d. If several have reported it, as the disk went to another VM, it is the
// one that was heard last.
func (p *Membership) ByDisk(d string) (Peer, bool) {
	var last Peer
	found := false
	for _, x := range p.All() {
		if x.diskID == d && (!found || x.lastHeard.After(last.lastHeard)) {
			last, found = x, true
		}
	}
	return last, found
}

// CountHeard returns the number of processes of this one's role that report, and of all such processes; both include
// this one, and none that are leaving.
func (p *Membership) CountHeard() (heard, all int) {
	after := time.Now().Add(-p.silence(heardTimeout))
	heard, all = 1, 1
	for i := range p.shards {
		h, n := p.shards[i].countHeard(p.self.Role(), after)
		heard, all = heard+h, all+n
	}
	return heard, all
}

// countHeard returns the number of processes of role r that reported after t, and of all processes of that role.
func (s *shard) countHeard(r string, t time.Time) (heard, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.peers {
		if x.member.Role() != r || x.member.Leaving() {
			continue
		}
		all++
		if x.lastHeard.After(t) {
			heard++
		}
	}
	return heard, all
}
