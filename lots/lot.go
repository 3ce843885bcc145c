package lots

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// lot is the replica of one lot on this disk; the lock of its shard guards all fields but writes.
type lot struct {
	id              string
	head            *bulrushlug.Lot // Nil only until the first entry is synced.
	epoch           uint64
	replicas        []string              // Disks that hold the lot in this epoch, the primary's first.
	confirmed       bool                  // The record names this epoch and these replicas.
	coordinator     string                // Disk of the process that runs the reconfiguration to this epoch; empty if unknown.
	whole           bool                  // This disk runs that reconfiguration, and has the whole log.
	refused         bool                  // A replica refused it: it needs a later epoch.
	entries         []bulrushlug.LotEntry // Synced on this disk, unless unsynced; the first is the head entry.
	former          []formerLog           // Logs of earlier epochs, until a later one is confirmed.
	committed       int                   // Commit index: entries that all replicas have. Rises within one epoch, never above len(entries); zero while unknown.
	size            int                   // Memory of entries and former, about.
	pending         []bulrushlug.LotEntry // Entries not synced on this disk yet.
	results         []int                 // Positions of the results in entries.
	done            map[uint32]bool       // Items with a result, synced or pending.
	ended           bool                  // The end of the lot is among entries or pending.
	busy            bool                  // A goroutine runs the tasks of the lot.
	unsynced        bool                  // Entries were read from the disk and may not be synced; they count for nothing.
	dropped         bool                  // The log is being removed; the lot accepts nothing and counts as absent.
	epochChanged    bool                  // The record has to be read again: a replica follows another epoch, or a caller took this replica for the primary.
	stale           bool                  // The entries were received in another epoch; the primary has to resend all of them or reconfigure the lot.
	recheck         bool                  // A replica may lack the lot.
	failedRun       bool                  // A server failed a run of an item; the replicas are to be told at once.
	maybeRecorded   bool                  // A write of the record was not answered and may have taken effect.
	firstSeen       time.Time             // When this process first saw the lot.
	receivedAt      time.Time             // The earliest time known to be the receipt of the lot or after it; zero while head is nil.
	promiseDeadline time.Time             // When the reconfiguration to which this disk promised its epoch should be complete.
	recordReadAt    time.Time             // Last time at which the record named this epoch.
	verifiedAt      time.Time             // Last time at which all replicas followed this epoch.
	nextTaskAt      time.Time             // Earliest time of the next task.
	finishedAt      time.Time             // When this process saw that no item is left to run; zero before.
	promisedAt      time.Time             // When this disk promised the epoch.
	primaryBoot     uint64                // Start of the primary's process that sent an update of this epoch; zero before one did.
	probeAt         time.Time             // When the primary is asked whether it has the lot; zero while nothing calls for it.
	progress        map[uint32]text       // Events of items without a result, as the primary replicated them.
	failures        map[uint32]int        // Failed runs of items without a result, under all primaries; never decreases.
	storedFailures  map[uint32]int        // What the log on this disk says of failures; never more than failures.
	acked           map[uint32]position   // What all replicas acknowledged of the items in this epoch.
	failing         map[string]failure    // Of the replicas on these disks, all writes of which have failed lately; this disk may be one.
	writingSince    time.Time             // When the write to this disk began that is in progress; zero if none is.
	heardAt         time.Time             // When the last update of the primary arrived.
	ackedBoots      []uint64              // Starts of the replicas' processes that acknowledged it; a process that restarts has lost it.
	taskErr         error                 // The last error of a task; nil for none.
	taskErrAt       time.Time             // When that was.
	unservedLogged  time.Time             // Last line on it as a lot for which no primary acts.
	changed         chan struct{}         // Closed at the next change.
	writes          chan struct{}         // Holds a token while the log is written, one write at a time.
}

// formerLog is the log that the disk had in an earlier epoch.
type formerLog struct {
	epoch    uint64
	replicas []string
	entries  []bulrushlug.LotEntry
}

// failure is a series of failed writes without a successful one in between.
type failure struct{ first, last time.Time }

// text holds the events of one text, from the first one on.
type text struct {
	id     uint64
	events []string
}

// position is the last event of a text, and the number of failed runs, that were acknowledged.
type position struct {
	text, last uint64
	failures   int
}

func newLot(i string) *lot {
	return &lot{id: i, done: map[uint32]bool{}, progress: map[uint32]text{}, failures: map[uint32]int{}, storedFailures: map[uint32]int{}, acked: map[uint32]position{}, failing: map[string]failure{}, changed: make(chan struct{}), writes: make(chan struct{}, 1), firstSeen: time.Now()}
}

// beginWrite waits until no other write to the log is in progress; the caller calls endWrite. It fails if a write takes so long
// that the process from which a call comes has given the call up.
func (l *lot) beginWrite() error {
	t := time.NewTimer(logTransferTimeout)
	defer t.Stop()
	select {
	case l.writes <- struct{}{}:
		return nil
	case <-t.C:
		return bulrushlug.Errorf(bulrushlug.KindStorage, "lot %s: a write to the log has not ended after %v", l.id, logTransferTimeout)
	}
}

func (l *lot) endWrite() { <-l.writes }

// notify wakes all goroutines that wait for a change.
func (l *lot) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// sameEpoch reports whether u has the epoch and the replicas of l.
func (l *lot) sameEpoch(u bulrushlug.LotUpdate) bool {
	return u.Epoch() == l.epoch && slices.Equal(u.Replicas(), l.replicas)
}

// apply applies the update u, which is synced and does not begin after the last entry.
//
// Within one epoch the log only grows, as updates may arrive late and out of order; an update of another epoch
// replaces all entries from its position on.
func (l *lot) apply(u bulrushlug.LotUpdate) {
	if l.sameEpoch(u) && !l.stale {
		if n := len(l.entries) - u.Offset(); n < len(u.Entries()) {
			l.entries = append(l.entries, u.Entries()[n:]...)
			l.size += memorySize(u.Entries()[n:])
			l.promiseDeadline = time.Now().Add(promiseTimeout + rand.N(promiseTimeout/2))
		}
	} else {
		if !l.sameEpoch(u) && len(l.entries) > 0 {
			l.former = append(l.former, formerLog{l.epoch, l.replicas, l.entries})
		}
		l.entries = append(l.entries[:u.Offset():u.Offset()], u.Entries()...)
		l.resize()
		l.verifiedAt = time.Time{}
		l.committed = 0
		clear(l.acked)
		l.promisedAt = time.Now()
		l.promiseDeadline = l.promisedAt.Add(promiseTimeout + rand.N(promiseTimeout/2))
		if !l.sameEpoch(u) {
			l.coordinator, l.whole, l.refused, l.primaryBoot = u.Sender(), false, false, 0
		}
		l.epochChanged, l.stale = false, u.Offset() > 0
	}
	if len(l.replicas) > 0 && len(u.Replicas()) > 0 && l.replicas[0] != u.Replicas()[0] {
		l.pending = nil
	}
	if l.isReplacedBy(u) {
		l.receivedAt = time.Time{}
	}
	l.observeReceipt(u.ReceivedAt())
	l.epoch, l.replicas, l.confirmed = u.Epoch(), u.Replicas(), u.Confirmed() || l.confirmed && l.sameEpoch(u)
	if u.Confirmed() && l.former != nil {
		l.former = nil
		l.resize()
	}
	l.rebuildIndex()
	l.notify()
}

// logOf returns the log that the disk had in the epoch of the record r, and false if that is its present one.
func (l *lot) logOf(r bulrushlug.LotRecord) ([]bulrushlug.LotEntry, bool) {
	for _, f := range slices.Backward(l.former) {
		if f.epoch == r.Epoch() && slices.Equal(f.replicas, r.Replicas()) {
			return f.entries, true
		}
	}
	return nil, false
}

// addProgress adds events that continue the known ones of their text; parts that leave a gap are ignored. Another text
// replaces the known one from its first event on, even within one epoch: a primary that restarted runs its items again. One
// without events replaces only the text that it names.
func (l *lot) addProgress(p []bulrushlug.LotProgress) {
	for _, x := range p {
		l.countFailures(x.Item(), x.Failures())
		t := l.progress[x.Item()]
		dropped := t.id != 0 && t.id == x.Replaces()
		if t.id != x.Text() {
			t = text{id: x.Text()}
		}
		known := uint64(len(t.events))
		if x.First() <= known+1 && (x.Last() > known || dropped) && !l.ended && !l.done[x.Item()] {
			t.events = append(t.events, x.Data()[known+1-x.First():]...)
			l.progress[x.Item()] = t
		}
	}
}

// countFailures notes n failed runs of an item. They bound how often it runs, so no change of the primary or of the text may
// lower them.
func (l *lot) countFailures(item uint32, n int) {
	if n > l.failures[item] && !l.ended && !l.done[item] {
		l.failures[item] = n
	}
}

// failuresIn returns the failed runs in p, by item; nil if there are none, as in most updates.
func failuresIn(p []bulrushlug.LotProgress) (f map[uint32]int) {
	for _, x := range p {
		if x.Failures() == 0 {
			continue
		}
		if f == nil {
			f = map[uint32]int{}
		}
		f[x.Item()] = x.Failures()
	}
	return f
}

// unstoredFailures returns those of the failed runs f that the log on this disk does not have yet.
func (l *lot) unstoredFailures(f map[uint32]int) (p []bulrushlug.LotProgress) {
	for n, x := range f {
		if x > l.storedFailures[n] && !l.ended && !l.done[n] {
			p = append(p, bulrushlug.NewLotProgress(n, 0, 1, nil).WithFailures(x))
		}
	}
	return p
}

// storeFailures notes that the log on this disk has the failed runs in p.
func (l *lot) storeFailures(p []bulrushlug.LotProgress) {
	for _, x := range p {
		l.countFailures(x.Item(), x.Failures())
		if x.Failures() > l.storedFailures[x.Item()] && l.failures[x.Item()] >= x.Failures() {
			l.storedFailures[x.Item()] = x.Failures()
		}
	}
}

// knownProgress returns the events and failed runs of the items without a result.
func (l *lot) knownProgress() (p []bulrushlug.LotProgress) {
	for n, t := range l.progress {
		p = append(p, bulrushlug.NewLotProgress(n, t.id, 1, slices.Clone(t.events)).WithFailures(l.failures[n]))
	}
	for n, f := range l.failures {
		if _, ok := l.progress[n]; !ok {
			p = append(p, bulrushlug.NewLotProgress(n, 0, 1, nil).WithFailures(f))
		}
	}
	return p
}

// recoverProgress adopts the texts in p that are longer than the known ones.
func (l *lot) recoverProgress(p []bulrushlug.LotProgress) {
	for _, x := range p {
		l.countFailures(x.Item(), x.Failures())
		if x.First() == 1 && len(x.Data()) > len(l.progress[x.Item()].events) && !l.ended && !l.done[x.Item()] {
			l.progress[x.Item()] = text{x.Text(), x.Data()}
		}
	}
}

// contains reports whether the update u changes nothing.
func (l *lot) contains(u bulrushlug.LotUpdate) bool {
	return l.sameEpoch(u) && !l.stale && (l.confirmed || !u.Confirmed()) && u.Offset()+len(u.Entries()) <= len(l.entries)
}

// rebuildIndex derives the fields that depend on the entries, and drops the pending entries that are among them, or that an
// entry of another primary has made void: an item has one result.
func (l *lot) rebuildIndex() {
	l.results = l.results[:0]
	clear(l.done)
	l.ended = false
	for i, e := range l.entries {
		if e.Result() != nil {
			l.results = append(l.results, i)
		}
		l.index(e)
	}
	var p []bulrushlug.LotEntry
	for _, e := range l.pending {
		if r := e.Result(); r != nil && l.done[r.Item()] || e.Ended() && l.ended {
			continue
		}
		l.index(e)
		p = append(p, e)
	}
	l.pending = p
	if l.finishedAt.IsZero() && l.finished() {
		l.finishedAt = time.Now()
	}
}

// index notes what the entry e says.
func (l *lot) index(e bulrushlug.LotEntry) {
	switch {
	case e.Lot() != nil:
		l.head = e.Lot()
		l.observeReceipt(l.head.ReceivedAt())
	case e.Result() != nil:
		l.done[e.Result().Item()] = true
		delete(l.progress, e.Result().Item())
		delete(l.failures, e.Result().Item())
		delete(l.storedFailures, e.Result().Item())
	case e.Ended():
		l.ended = true
		clear(l.progress)
		clear(l.failures)
		clear(l.storedFailures)
	}
}

// isReplacedBy reports whether u begins with the lot of another organisation, so that l is a draft which was not accepted.
func (l *lot) isReplacedBy(u bulrushlug.LotUpdate) bool {
	if l.head == nil || u.Offset() > 0 || len(u.Entries()) == 0 || u.Entries()[0].Lot() == nil {
		return false
	}
	return u.Entries()[0].Lot().Organisation() != l.head.Organisation()
}

// observeReceipt notes that the lot was received at t or before; a zero t says nothing. A process that has restarted learns so
// from the others how old the lot is.
func (l *lot) observeReceipt(t time.Time) {
	l.receivedAt = earlier(l.receivedAt, t)
}

// isPrimary reports whether disk d is the primary of the lot.
func (l *lot) isPrimary(d string) bool { return len(l.replicas) > 0 && l.replicas[0] == d }

// serving reports whether disk d may answer for the lot, once the other replicas verified its epoch.
func (l *lot) serving(d string) bool {
	return l.confirmed && l.isPrimary(d) && l.head != nil && !l.epochChanged && !l.unsynced
}

// recordAttempt records whether an update was stored on disk d; a replica in another epoch does not fail.
func (l *lot) recordAttempt(d string, err error) {
	if err == nil || bulrushlug.KindOf(err) == bulrushlug.KindConflict {
		delete(l.failing, d)
		return
	}
	f, now := l.failing[d], time.Now()
	if now.Sub(f.last) > failureLifetime {
		f.first = now
	}
	f.last = now
	l.failing[d] = f
}

// condemn makes the replica on disk d count as failing, as it says so itself.
func (l *lot) condemn(d string) {
	now := time.Now()
	l.failing[d] = failure{now.Add(-2 * replicaPatience), now}
}

// fails reports whether the replica on disk d fails for so long that another one should take its place.
func (l *lot) fails(d string) bool {
	f, ok := l.failing[d]
	return ok && f.last.Sub(f.first) > replicaPatience && time.Since(f.last) < failureLifetime
}

// storesNothing reports whether all writes to disk d, which is that of this process, have failed for some time, or one has not
// ended for so long.
func (l *lot) storesNothing(d string) bool {
	return l.fails(d) || !l.writingSince.IsZero() && time.Since(l.writingSince) > replicaPatience
}

// failingDisks returns the disks whose replicas fail.
func (l *lot) failingDisks() (f []string) {
	for d := range l.failing {
		if l.fails(d) {
			f = append(f, d)
		}
	}
	return f
}

// runnable reports whether disk d may start items of the lot: the other replicas verified its epoch lately.
func (l *lot) runnable(d string) bool {
	return l.serving(d) && time.Since(l.verifiedAt) <= startStaleness
}

// left returns the items without a result.
func (l *lot) left() (n []uint32) {
	for i := range uint32(len(l.head.Items())) {
		if !l.done[i] {
			n = append(n, i)
		}
	}
	return n
}

// unconfirmed returns the items with a result that is not among the committed entries.
func (l *lot) unconfirmed() (n []uint32) {
	for _, e := range slices.Concat(l.entries[min(max(l.committed, 0), len(l.entries)):], l.pending) {
		if e.Result() != nil {
			n = append(n, e.Result().Item())
		}
	}
	return n
}

// lastError returns the last error of a task, nil for none.
func (l *lot) lastError() error {
	if l.taskErr == nil {
		return nil
	}
	return bulrushlug.WrapError(bulrushlug.KindOf(l.taskErr), time.Since(l.taskErrAt).Round(time.Millisecond).String()+" ago", l.taskErr)
}

// finished reports whether no item of the lot is left to run.
func (l *lot) finished() bool { return l.ended || l.head != nil && len(l.done) == len(l.head.Items()) }

// page returns the committed results from position n on: at least one, and up to about limit bytes.
func (l *lot) page(n, limit int) bulrushlug.LotPage {
	var r []bulrushlug.LotListedResult
	size := 0
	for _, i := range l.results[min(n, len(l.results)):] {
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
