// Package copies keeps each chunk on several data VMs in different availability zones.
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
	readTimeout = 5 * time.Second  // Bounds the read of one chunk from one VM.
	avoidTime   = 10 * time.Second // Time for which a VM that failed to keep a chunk comes last.
)

// Replicator writes and reads chunks by the VMs of a roster.
type Replicator struct {
	chunks bulrushlug.ChunkStore
	roster bulrushlug.Roster
	count  int                  // Copies of each chunk, at least one.
	mu     sync.Mutex           // Guards failed.
	failed map[string]time.Time // When a VM last failed to keep a chunk.
}

// New returns a store with n copies of each chunk.
func New(v bulrushlug.ChunkStore, r bulrushlug.Roster, n int) *Replicator {
	return &Replicator{chunks: v, roster: r, count: max(1, n), failed: map[string]time.Time{}}
}

// data returns the data VMs that take new chunks.
func (x *Replicator) data() []bulrushlug.Member {
	return slices.DeleteFunc(slices.Clone(x.roster.Members()), func(m bulrushlug.Member) bool {
		return !m.Data() || m.Leaving()
	})
}

// ReplicaCount returns how many copies new chunks get now: fewer than asked for where there are fewer data VMs.
func (x *Replicator) ReplicaCount() int { return min(x.count, len(x.data())) }

// order returns the data VMs for key k: those of zones not used before first, those that failed lately last.
func (x *Replicator) order(k string) []bulrushlug.Member {
	l := x.byZone(k)
	slices.SortStableFunc(l, func(a, b bulrushlug.Member) int { return x.avoided(a.Name()) - x.avoided(b.Name()) })
	return l
}

// avoided returns 1 if the VM v failed lately, and 0 otherwise.
func (x *Replicator) avoided(v string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t, ok := x.failed[v]; ok && time.Since(t) < avoidTime {
		return 1
	}
	return 0
}

func (x *Replicator) noteFailure(v string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed[v] = time.Now()
}

func (x *Replicator) byZone(k string) []bulrushlug.Member {
	m := map[string]bulrushlug.Member{}
	var n []string
	for _, d := range x.data() {
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

// Put keeps p as chunk n of file f, and returns once its copies are synced: all that were promised, or more
// than half of them if the other VMs fail. A repair adds what is missing.
func (x *Replicator) Put(c context.Context, f string, n uint32, items uint32, p []byte) (bulrushlug.ChunkRef, error) {
	want := x.ReplicaCount()
	if want == 0 {
		return bulrushlug.ChunkRef{}, bulrushlug.Errorf(bulrushlug.KindStorage, "no VM with a data folder takes chunks")
	}
	l := x.order(f + "/" + strconv.Itoa(int(n)))
	v, err := x.spread(c, l, want, f, n, p)
	if len(v) < want/2+1 {
		return bulrushlug.ChunkRef{}, bulrushlug.WrapError(bulrushlug.KindStorage, f, err)
	}
	return bulrushlug.NewChunkRef(f, n, v, items, uint32(len(p)), disk.Checksum(p)), nil
}

// spread puts p on want of the VMs in l; the later ones stand in for those that fail.
func (x *Replicator) spread(c context.Context, l []bulrushlug.Member, want int, f string, n uint32, p []byte) ([]string, error) {
	type answer struct {
		vm  string
		err error
	}
	out := make(chan answer, len(l))
	put := func(m bulrushlug.Member) {
		out <- answer{vm: m.Name(), err: x.chunks.Put(c, m.Address(), f, n, p)}
	}
	for _, m := range l[:want] {
		go put(m)
	}
	next, open := want, want
	var v []string
	var err error
	for open > 0 {
		a := <-out
		open--
		if a.err == nil {
			v = append(v, a.vm)
			continue
		}
		err = a.err
		x.noteFailure(a.vm)
		if next < len(l) {
			go put(l[next])
			next++
			open++
		}
	}
	return v, err
}

// Get returns the chunk of p from the first VM that has it undamaged.
func (x *Replicator) Get(c context.Context, p bulrushlug.ChunkRef) ([]byte, error) {
	err := error(bulrushlug.Errorf(bulrushlug.KindStorage, "%s: no VM that holds it is listed", p.File()))
	for _, m := range x.roster.Members() {
		if !slices.Contains(p.VMs(), m.Name()) {
			continue
		}
		b, e := x.read(c, m, p)
		if e == nil {
			return b, nil
		}
		err = e
	}
	return nil, err
}

func (x *Replicator) read(c context.Context, m bulrushlug.Member, p bulrushlug.ChunkRef) ([]byte, error) {
	c, stop := context.WithTimeout(c, readTimeout)
	defer stop()
	b, err := x.chunks.Get(c, m.Address(), p.File(), p.Index())
	if err != nil {
		return nil, err
	}
	if disk.Checksum(b) != p.Checksum() {
		return nil, bulrushlug.Errorf(bulrushlug.KindStorage, "%s: the copy on %s is damaged", p.File(), m.Name())
	}
	return b, nil
}

// Drop removes all copies of p.
func (x *Replicator) Drop(c context.Context, p bulrushlug.ChunkRef) {
	for _, m := range x.roster.Members() {
		if slices.Contains(p.VMs(), m.Name()) {
			_ = x.chunks.Drop(c, m.Address(), p.File(), p.Index())
		}
	}
}

// Repair copies the chunk of p to new VMs in place of those that are gone or were missing, and reports whether p changed.
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
	for _, m := range x.order(p.File() + "/" + strconv.Itoa(int(p.Index()))) {
		if len(left) >= x.count {
			break
		}
		if slices.Contains(left, m.Name()) || x.chunks.Put(c, m.Address(), p.File(), p.Index(), b) != nil {
			continue
		}
		left = append(left, m.Name())
	}
	return p.WithVMs(left), len(left) > before || before < len(p.VMs()), nil
}
