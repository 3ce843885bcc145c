// Package copies replicates each chunk to several data VMs in different availability zones.
package copies

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/disk"
	"bulrushlug.dev/bulrushlug/rank"
)

const (
	readTimeout = 5 * time.Second  // Timeout of a read of one chunk from one VM.
	avoidPeriod = 10 * time.Second // Time for which a VM that failed to store a chunk is chosen last.
)

// Replicator writes and reads the replicas of chunks on the data VMs of a roster.
type Replicator struct {
	chunks   bulrushlug.ChunkStore
	roster   bulrushlug.Roster
	replicas int                  // Replicas of each chunk, at least one.
	mu       sync.Mutex           // Guards failed.
	failed   map[string]time.Time // Time of the last failed write to a VM.
}

// New returns a replicator that keeps n replicas of each chunk.
func New(v bulrushlug.ChunkStore, r bulrushlug.Roster, n int) *Replicator {
	return &Replicator{chunks: v, roster: r, replicas: max(1, n), failed: map[string]time.Time{}}
}

// dataVMs returns the data VMs that accept new chunks.
func (x *Replicator) dataVMs() []bulrushlug.Member {
	return slices.DeleteFunc(slices.Clone(x.roster.Members()), func(m bulrushlug.Member) bool {
		return !m.HasDataFolder() || m.Leaving()
	})
}

// ReplicaCount returns the number of replicas of new chunks: the configured number, or that of the data VMs if it is
// lower.
func (x *Replicator) ReplicaCount() int { return min(x.replicas, len(x.dataVMs())) }

// placement returns the data VMs in the order of preference for key k: one VM of each zone first, and VMs that failed
// recently last.
func (x *Replicator) placement(k string) []bulrushlug.Member {
	l := x.spreadZones(k)
	slices.SortStableFunc(l, func(a, b bulrushlug.Member) int { return x.recentlyFailed(a.Name()) - x.recentlyFailed(b.Name()) })
	return l
}

// recentlyFailed returns 1 if the last failed write to VM v is recent, and 0 otherwise.
func (x *Replicator) recentlyFailed(v string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t, ok := x.failed[v]; ok && time.Since(t) < avoidPeriod {
		return 1
	}
	return 0
}

func (x *Replicator) recordFailure(v string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed[v] = time.Now()
}

// spreadZones returns the data VMs in the rendezvous order of k, the first one of each zone before all others.
func (x *Replicator) spreadZones(k string) []bulrushlug.Member {
	m := map[string]bulrushlug.Member{}
	var n []string
	for _, d := range x.dataVMs() {
		m[d.Name()] = d
		n = append(n, d.Name())
	}
	used := map[string]bool{}
	var first, rest []bulrushlug.Member
	for _, v := range rank.Order(k, n) {
		if used[m[v].Zone()] {
			rest = append(rest, m[v])
			continue
		}
		used[m[v].Zone()] = true
		first = append(first, m[v])
	}
	return append(first, rest...)
}

// Put stores p as chunk n of file f and returns once its replicas are synced to disk: all of them, or a majority if
// the other VMs fail. Repair adds the missing replicas.
func (x *Replicator) Put(c context.Context, f string, n uint32, items uint32, p []byte) (bulrushlug.ChunkRef, error) {
	want := x.ReplicaCount()
	if want == 0 {
		return bulrushlug.ChunkRef{}, bulrushlug.Errorf(bulrushlug.KindStorage, "no data VM accepts chunks")
	}
	l := x.placement(f + "/" + strconv.Itoa(int(n)))
	v, err := x.putReplicas(c, l, want, f, n, p)
	if len(v) < want/2+1 {
		return bulrushlug.ChunkRef{}, bulrushlug.WrapError(bulrushlug.KindStorage, f, err)
	}
	return bulrushlug.NewChunkRef(f, n, v, items, uint32(len(p)), disk.Checksum(p)), nil
}

// putReplicas stores p on want of the VMs in l; the first VMs are tried first, and the others replace those that fail.
func (x *Replicator) putReplicas(c context.Context, l []bulrushlug.Member, want int, f string, n uint32, p []byte) ([]string, error) {
	type result struct {
		vm  string
		err error
	}
	out := make(chan result, len(l))
	put := func(m bulrushlug.Member) {
		out <- result{vm: m.Name(), err: x.chunks.Put(c, m.Address(), f, n, p)}
	}
	for _, m := range l[:want] {
		go put(m)
	}
	next, pending := want, want
	var v []string
	var err error
	for pending > 0 {
		a := <-out
		pending--
		if a.err == nil {
			v = append(v, a.vm)
			continue
		}
		err = a.err
		x.recordFailure(a.vm)
		if next < len(l) {
			go put(l[next])
			next++
			pending++
		}
	}
	return v, err
}

// Get returns the chunk of p from the first replica whose checksum matches.
func (x *Replicator) Get(c context.Context, p bulrushlug.ChunkRef) ([]byte, error) {
	err := error(bulrushlug.Errorf(bulrushlug.KindStorage, "%s: no VM with a replica is listed", p.File()))
	for _, m := range x.roster.Members() {
		if !slices.Contains(p.VMs(), m.Name()) {
			continue
		}
		b, e := x.readReplica(c, m, p)
		if e == nil {
			return b, nil
		}
		err = e
	}
	return nil, err
}

func (x *Replicator) readReplica(c context.Context, m bulrushlug.Member, p bulrushlug.ChunkRef) ([]byte, error) {
	c, stop := context.WithTimeout(c, readTimeout)
	defer stop()
	b, err := x.chunks.Get(c, m.Address(), p.File(), p.Index())
	if err != nil {
		return nil, err
	}
	if disk.Checksum(b) != p.Checksum() {
		return nil, bulrushlug.Errorf(bulrushlug.KindStorage, "%s: checksum mismatch of the replica on %s", p.File(), m.Name())
	}
	return b, nil
}

// Drop deletes all replicas of p; errors are ignored.
func (x *Replicator) Drop(c context.Context, p bulrushlug.ChunkRef) {
	for _, m := range x.roster.Members() {
		if slices.Contains(p.VMs(), m.Name()) {
			_ = x.chunks.Drop(c, m.Address(), p.File(), p.Index())
		}
	}
}

// Repair re-replicates the chunk of p in place of replicas that are gone or were never written, and reports whether p
// changed.
func (x *Replicator) Repair(c context.Context, p bulrushlug.ChunkRef, gone func(v string) bool) (bulrushlug.ChunkRef, bool, error) {
	left := slices.DeleteFunc(slices.Clone(p.VMs()), gone)
	if len(left) == 0 || len(left) >= x.ReplicaCount() {
		return p, false, nil
	}
	b, err := x.Get(c, p)
	if err != nil {
		return p, false, err
	}
	before := len(left)
	for _, m := range x.placement(p.File() + "/" + strconv.Itoa(int(p.Index()))) {
		if len(left) >= x.replicas {
			break
		}
		if slices.Contains(left, m.Name()) || x.chunks.Put(c, m.Address(), p.File(), p.Index(), b) != nil {
			continue
		}
		left = append(left, m.Name())
	}
	return p.WithVMs(left), len(left) > before || before < len(p.VMs()), nil
}
