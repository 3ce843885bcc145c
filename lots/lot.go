package lots

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// lot is one lot on this disk; the lock of its shard guards it, but for write.
type lot struct {
	id        string
	head      *bulrushlug.Lot // Nil only until the first entry is kept.
	epoch     uint64
	replicas  []string              // Disks that hold the lot in this epoch, the primary's first.
	confirmed bool                  // The record names this epoch and these replicas.
	entries   []bulrushlug.LotEntry // All are synced on this disk; the first is the head.
	committed int                   // Entries that all replicas have; rises within one epoch, never above len(entries). Zero while unknown.
	pending   []bulrushlug.LotEntry // Entries that are not kept yet.
	listed    []int                 // Positions in entries of the results.
	done      map[uint32]bool       // Items with a result, listed or pending.
	ended     bool                  // The end of the lot is among entries or pending.
	driven    bool                  // A goroutine keeps, copies or claims the lot.
	moved     bool                  // Another epoch was seen at a replica.
	stale     bool                  // The entries came in another epoch; the primary has to send all of them, or to claim the lot.
	recheck   bool                  // A replica may lack the lot.
	doubt     bool                  // A record may have been written without an answer.
	born      time.Time             // When this process met the lot.
	settled   time.Time             // When the claim that this disk promised its epoch to should be settled.
	read      time.Time             // Last time at which the record named this epoch.
	verified  time.Time             // Last time at which all replicas followed this epoch.
	next      time.Time             // Earliest time of the next claim or look at the record.
	progress  map[uint32][]string   // Data of the events of items without a result, from the first one on, as the primary told.
	told      map[uint32]uint64     // Last event of each item that all replicas know in this epoch.
	change    chan struct{}         // Closed at the next change.
	write     sync.Mutex            // Orders the steps that are written to the log.
}

func newLot(i string) *lot {
	return &lot{id: i, done: map[uint32]bool{}, progress: map[uint32][]string{}, told: map[uint32]uint64{}, change: make(chan struct{}), born: time.Now()}
}

// notify wakes all that wait for a change.
func (l *lot) notify() {
	close(l.change)
	l.change = make(chan struct{})
}

// same reports whether u belongs to the epoch and the replicas in which the entries were kept.
func (l *lot) same(u bulrushlug.LotUpdate) bool {
	return u.Epoch() == l.epoch && slices.Equal(u.Replicas(), l.replicas)
}

// take applies the step u, which is synced and does not begin after the last entry.
//
// In one epoch the log only grows, as steps may arrive late and out of order; a step of another epoch replaces
// all entries from its position on.
func (l *lot) take(u bulrushlug.LotUpdate) {
	if l.same(u) && !l.stale {
		if n := len(l.entries) - u.Offset(); n < len(u.Entries()) {
			l.entries = append(l.entries, u.Entries()[n:]...)
		}
	} else {
		l.entries = append(l.entries[:u.Offset():u.Offset()], u.Entries()...)
		l.verified = time.Time{}
		l.committed = 0
		clear(l.told)
		l.settled = time.Now().Add(promiseTime + rand.N(promiseTime/2))
		l.moved, l.stale = false, u.Offset() > 0
	}
	if len(l.replicas) > 0 && len(u.Replicas()) > 0 && l.replicas[0] != u.Replicas()[0] {
		l.pending = nil
	}
	l.epoch, l.replicas, l.confirmed = u.Epoch(), u.Replicas(), u.Confirmed() || l.confirmed && l.same(u)
	l.index()
	l.notify()
}

// learn notes how far items are; parts that don't follow what is known are left out.
func (l *lot) learn(p []bulrushlug.LotProgress) {
	for _, x := range p {
		known := uint64(len(l.progress[x.Item()]))
		if x.First() <= known+1 && x.Last() > known && !l.done[x.Item()] {
			l.progress[x.Item()] = append(l.progress[x.Item()], x.Data()[known+1-x.First():]...)
		}
	}
}

// has reports whether the step u changes nothing.
func (l *lot) has(u bulrushlug.LotUpdate) bool {
	return l.same(u) && !l.stale && (l.confirmed || !u.Confirmed()) && u.Offset()+len(u.Entries()) <= len(l.entries)
}

// index works out what follows from the entries.
func (l *lot) index() {
	l.listed = l.listed[:0]
	clear(l.done)
	l.ended = false
	for i, e := range slices.Concat(l.entries, l.pending) {
		switch {
		case e.Lot() != nil:
			l.head = e.Lot()
		case e.Result() != nil:
			l.done[e.Result().Item()] = true
			delete(l.progress, e.Result().Item())
			if i < len(l.entries) {
				l.listed = append(l.listed, i)
			}
		case e.Ended():
			l.ended = true
		}
	}
}

// primary reports whether disk d runs and lists the lot.
func (l *lot) primary(d string) bool { return len(l.replicas) > 0 && l.replicas[0] == d }

// serving reports whether disk d may answer for the lot, once the other replicas agree.
func (l *lot) serving(d string) bool {
	return l.confirmed && l.primary(d) && l.head != nil && !l.moved
}

// finished reports whether nothing of the lot is left to run.
func (l *lot) finished() bool { return l.ended || l.head != nil && len(l.done) == len(l.head.Items()) }

// page returns the committed results from position n on, up to about max bytes but at least one.
func (l *lot) page(n, limit int) bulrushlug.LotPage {
	var r []bulrushlug.LotListedResult
	size := 0
	for _, i := range l.listed[min(n, len(l.listed)):] {
		if i >= l.committed {
			break
		}
		x := l.entries[i].Result()
		size += len(x.Text())
		if len(r) > 0 && size > limit {
			break
		}
		r = append(r, bulrushlug.NewLotListedResult(l.head.Items()[x.Item()].ID(), x.Completed(), x.Text()))
	}
	return bulrushlug.NewLotPage(len(l.head.Items()), n+len(r), r)
}
