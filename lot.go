package bulrushlug

import (
	"context"
	"time"
)

// LotItem is one request of a lot.
type LotItem struct {
	id     string  // Unique in the lot.
	path   string  // HTTP path at the backend server.
	fields []Field // Header fields that came with the item.
	body   []byte  // Not changed after decoding.
}

// NewLotItem returns the item i that calls path p.
func NewLotItem(i, p string, f []Field, b []byte) LotItem {
	return LotItem{id: i, path: p, fields: f, body: b}
}

// ID returns the identifier.
func (i LotItem) ID() string { return i.id }

// Path returns the HTTP path at the backend server.
func (i LotItem) Path() string { return i.path }

// Fields returns the header fields.
func (i LotItem) Fields() []Field { return i.fields }

// Body returns the body.
func (i LotItem) Body() []byte { return i.body }

// Lot is a set of requests that were handed in at once and run later; values are immutable.
type Lot struct {
	id           string // Chosen by the caller; a resend has the same one.
	organisation string
	route        string // Route whose limits apply.
	host         string // Host that the caller named.
	sent         time.Time
	items        []LotItem
}

// NewLot returns the lot i of organisation o on route r, received at t.
func NewLot(i, o, r, host string, t time.Time, l []LotItem) Lot {
	return Lot{id: i, organisation: o, route: r, host: host, sent: t, items: l}
}

// ID returns the identifier.
func (l Lot) ID() string { return l.id }

// Organisation returns the organisation that owns the lot.
func (l Lot) Organisation() string { return l.organisation }

// Route returns the route whose limits apply.
func (l Lot) Route() string { return l.route }

// Host returns the host that the caller named.
func (l Lot) Host() string { return l.host }

// ReceivedAt returns when the first process received the lot.
func (l Lot) ReceivedAt() time.Time { return l.sent }

// Items returns the items.
func (l Lot) Items() []LotItem { return l.items }

// LotResult is the end of one item; values are immutable.
type LotResult struct {
	item      uint32 // Index in the lot.
	completed bool   // False for an item that was given up.
	text      string // Data of all events, separated by line feeds.
}

// NewLotResult returns the result of item n.
func NewLotResult(n uint32, completed bool, text string) LotResult {
	return LotResult{item: n, completed: completed, text: text}
}

// Item returns the index of the item in the lot.
func (r LotResult) Item() uint32 { return r.item }

// Completed reports whether the item was done.
func (r LotResult) Completed() bool { return r.completed }

// Text returns the data of all events, separated by line feeds.
func (r LotResult) Text() string { return r.text }

// LotEntry is one entry of a lot's log; it holds exactly one part.
type LotEntry struct {
	lot    *Lot
	result *LotResult
	ended  bool
}

// NewLotHeadEntry returns the first entry of the log of l.
func NewLotHeadEntry(l Lot) LotEntry { return LotEntry{lot: &l} }

// NewLotResultEntry returns the entry that lists r.
func NewLotResultEntry(r LotResult) LotEntry { return LotEntry{result: &r} }

// NewLotEndEntry returns the entry that ends a lot.
func NewLotEndEntry() LotEntry { return LotEntry{ended: true} }

// Lot returns the lot, or nil.
func (e LotEntry) Lot() *Lot { return e.lot }

// Result returns the result, or nil.
func (e LotEntry) Result() *LotResult { return e.result }

// Ended reports whether the entry ends the lot.
func (e LotEntry) Ended() bool { return e.ended }

// LotListedResult is one listed result as callers read it.
type LotListedResult struct {
	id        string // Identifier of the item.
	completed bool
	text      string
}

// NewLotListedResult returns the listed result of item i.
func NewLotListedResult(i string, completed bool, text string) LotListedResult {
	return LotListedResult{id: i, completed: completed, text: text}
}

// ID returns the identifier of the item.
func (l LotListedResult) ID() string { return l.id }

// Completed reports whether the item was done.
func (l LotListedResult) Completed() bool { return l.completed }

// Text returns the data of all events, separated by line feeds.
func (l LotListedResult) Text() string { return l.text }

// LotPage is a run of the listed results of a lot; values are immutable.
type LotPage struct {
	total   int // Items of the lot.
	next    int // Position after the last result of the page.
	results []LotListedResult
}

// NewLotPage returns the page that ends before position next.
func NewLotPage(total, next int, l []LotListedResult) LotPage {
	return LotPage{total: total, next: next, results: l}
}

// Total returns the number of items of the lot.
func (p LotPage) Total() int { return p.total }

// Next returns the position after the last result of the page.
func (p LotPage) Next() int { return p.next }

// Results returns the results in the order of their positions.
func (p LotPage) Results() []LotListedResult { return p.results }

// LotQuery names a lot, or a part of it, on behalf of an organisation.
type LotQuery struct {
	id           string
	organisation string
	item         string        // Identifier of an item, where one is meant.
	after        int           // Position of the first result wanted.
	wait         time.Duration // Time to wait for a result.
}

// NewLotQuery names the lot i of organisation o.
func NewLotQuery(i, o string) LotQuery { return LotQuery{id: i, organisation: o} }

// WithItem returns a copy that names the item i.
func (q LotQuery) WithItem(i string) LotQuery {
	q.item = i
	return q
}

// WithAfter returns a copy that asks for the results from position n on and waits up to d for one.
func (q LotQuery) WithAfter(n int, d time.Duration) LotQuery {
	q.after, q.wait = n, d
	return q
}

// ID returns the identifier of the lot.
func (q LotQuery) ID() string { return q.id }

// Organisation returns the organisation that asks.
func (q LotQuery) Organisation() string { return q.organisation }

// Item returns the identifier of the item, or nothing.
func (q LotQuery) Item() string { return q.item }

// After returns the position of the first result wanted.
func (q LotQuery) After() int { return q.after }

// Wait returns the time to wait for a result.
func (q LotQuery) Wait() time.Duration { return q.wait }

// Lots accepts lots and answers for them.
//
// KindNotFound means that no such lot was ever accepted, or that it expired.
type Lots interface {
	// Submit accepts l, once however often it is called; on success the lot outlives the loss of the disks that are tolerated.
	Submit(c context.Context, l Lot) error
	// Read returns results of a lot.
	Read(c context.Context, q LotQuery) (LotPage, error)
	// Body returns the body of an item.
	Body(c context.Context, q LotQuery) ([]byte, error)
	// End ends a lot; no more of its items are started.
	End(c context.Context, q LotQuery) error
}

// LotProgress is a part of the answer to an item that is under way; values are immutable.
type LotProgress struct {
	item  uint32
	first uint64   // Identifier of the first event, at least one.
	data  []string // Data of that event and of those that follow it.
}

// NewLotProgress returns the events of item n from identifier first on.
func NewLotProgress(n uint32, first uint64, data []string) LotProgress {
	return LotProgress{item: n, first: first, data: data}
}

// Item returns the index of the item in the lot.
func (p LotProgress) Item() uint32 { return p.item }

// First returns the identifier of the first event.
func (p LotProgress) First() uint64 { return p.first }

// Data returns the data of the events.
func (p LotProgress) Data() []string { return p.data }

// Last returns the identifier of the last event.
func (p LotProgress) Last() uint64 { return p.first + uint64(len(p.data)) - 1 }

// LotUpdate is a step of a lot's log that its primary sends to the replicas; values are immutable.
type LotUpdate struct {
	lot       string
	epoch     uint64   // Rises with each change of the replicas.
	replicas  []string // Disks that hold the lot in this epoch, the primary's first.
	from      int      // Position of the first entry; entries after it that the receiver has are replaced.
	entries   []LotEntry
	confirmed bool // The record in the key-value service names this epoch and these replicas.
	progress  []LotProgress
}

// WithProgress returns a copy that also tells how far items are; replicas keep that in memory only.
func (u LotUpdate) WithProgress(l []LotProgress) LotUpdate {
	u.progress = l
	return u
}

// Progress returns how far items are.
func (u LotUpdate) Progress() []LotProgress { return u.progress }

// NewLotUpdate returns the step of lot i in epoch n that puts l at position from.
func NewLotUpdate(i string, n uint64, replicas []string, from int, l []LotEntry, confirmed bool) LotUpdate {
	return LotUpdate{lot: i, epoch: n, replicas: replicas, from: from, entries: l, confirmed: confirmed}
}

// Lot returns the identifier of the lot.
func (u LotUpdate) Lot() string { return u.lot }

// Epoch returns the epoch.
func (u LotUpdate) Epoch() uint64 { return u.epoch }

// Replicas returns the disks that hold the lot, the primary's first.
func (u LotUpdate) Replicas() []string { return u.replicas }

// Offset returns the position of the first entry.
func (u LotUpdate) Offset() int { return u.from }

// Entries returns the entries.
func (u LotUpdate) Entries() []LotEntry { return u.entries }

// Confirmed reports whether the record in the key-value service names this epoch.
func (u LotUpdate) Confirmed() bool { return u.confirmed }

// LotReplicaState is the answer of a replica; values are immutable.
type LotReplicaState struct {
	ok     bool   // The replica follows the epoch of the call.
	epoch  uint64 // Epoch that the replica follows; zero if it does not have the lot.
	length int    // Entries that the replica has.
}

// NewLotReplicaState returns the state of a replica.
func NewLotReplicaState(ok bool, epoch uint64, length int) LotReplicaState {
	return LotReplicaState{ok: ok, epoch: epoch, length: length}
}

// OK reports whether the replica follows the epoch of the call.
func (s LotReplicaState) OK() bool { return s.ok }

// Epoch returns the epoch that the replica follows; zero if it does not have the lot.
func (s LotReplicaState) Epoch() uint64 { return s.epoch }

// Length returns the number of entries that the replica has.
func (s LotReplicaState) Length() int { return s.length }

// LotReplicaClient reaches the replicas of lots on other VMs.
type LotReplicaClient interface {
	// Append makes the replica at address take u; it returns once u is synced.
	Append(c context.Context, address string, u LotUpdate) (LotReplicaState, error)
	// Verify asks the replica at address whether it follows epoch n of lot i.
	Verify(c context.Context, address, i string, n uint64) (LotReplicaState, error)
	// Forget removes the copy of lot i at address, unless it follows an epoch after n.
	Forget(c context.Context, address, i string, n uint64) error
	// Withdraw removes the copy of lot i at address if it was never confirmed and came from the primary on disk d.
	Withdraw(c context.Context, address, i, d string) error
}

// LotLog keeps the logs of lots on the disk of this VM.
type LotLog interface {
	// Append keeps u; it returns once u is synced.
	Append(u LotUpdate) error
	// Load hands all that was kept to f in the order in which it was appended.
	Load(f func(u LotUpdate)) error
	// Drop removes the log of lot i.
	Drop(i string) error
}

// LotRecord says in the key-value service where a lot is; values are immutable.
type LotRecord struct {
	epoch        uint64    // Rises with each change of the replicas.
	replicas     []string  // Disks that hold the lot, the primary's first.
	organisation string    // Organisation that owns the lot.
	expires      time.Time // Nobody asks for the lot after this time.
}

// NewLotRecord returns the record of a lot in epoch n.
func NewLotRecord(n uint64, replicas []string, organisation string, expires time.Time) LotRecord {
	return LotRecord{epoch: n, replicas: replicas, organisation: organisation, expires: expires}
}

// Epoch returns the epoch.
func (r LotRecord) Epoch() uint64 { return r.epoch }

// Replicas returns the disks that hold the lot, the primary's first.
func (r LotRecord) Replicas() []string { return r.replicas }

// Organisation returns the organisation that owns the lot.
func (r LotRecord) Organisation() string { return r.organisation }

// Expires returns the time after which nobody asks for the lot.
func (r LotRecord) Expires() time.Time { return r.expires }
