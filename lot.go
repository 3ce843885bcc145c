package bulrushlug

import (
	"context"
	"time"
)

// LotItem is one request of a lot.
type LotItem struct {
	id     string  // Unique in the lot.
	path   string  // HTTP path on the backend server.
	fields []Field // Header fields that the caller set for the item.
	body   []byte  // Not changed after decoding.
}

// NewLotItem returns item i, which calls path p with header fields f and body b.
func NewLotItem(i, p string, f []Field, b []byte) LotItem {
	return LotItem{id: i, path: p, fields: f, body: b}
}

// ID returns the identifier.
func (i LotItem) ID() string { return i.id }

// Path returns the HTTP path on the backend server.
func (i LotItem) Path() string { return i.path }

// Fields returns the header fields.
func (i LotItem) Fields() []Field { return i.fields }

// Body returns the body.
func (i LotItem) Body() []byte { return i.body }

// Lot is a batch of requests that are submitted together and run asynchronously; values are immutable.
type Lot struct {
	id           string // Chosen by the caller; makes submission idempotent.
	organisation string
	route        string        // Name of the route whose limits apply.
	host         string        // Host of the submitting request.
	receivedAt   time.Time     // When the first process received the lot, or later, by the steady clock of this process.
	revision     uint64        // Revision of the configuration under which the lot was accepted; zero if unknown.
	retention    time.Duration // Retention of its items by that configuration; zero if unknown.
	items        []LotItem
}

// NewLot returns lot i of organisation o on route r, received at t.
func NewLot(i, o, r, host string, t time.Time, l []LotItem) Lot {
	return Lot{id: i, organisation: o, route: r, host: host, receivedAt: t, items: l}
}

// ID returns the identifier.
func (l Lot) ID() string { return l.id }

// Organisation returns the organisation that owns the lot.
func (l Lot) Organisation() string { return l.organisation }

// Route returns the name of the route whose limits apply.
func (l Lot) Route() string { return l.route }

// Host returns the host of the submitting request.
func (l Lot) Host() string { return l.host }

// ReceivedAt returns the time at which the first process received the lot, by the steady clock of this process. A process
// that does not know it, as it has restarted, takes a later time: the lot may be older than it says, and is never younger.
func (l Lot) ReceivedAt() time.Time { return l.receivedAt }

// WithReceivedAt returns a copy that was received at t.
func (l Lot) WithReceivedAt(t time.Time) Lot {
	l.receivedAt = t
	return l
}

// WithRevision returns a copy that names n as the revision of the configuration under which the lot is accepted.
func (l Lot) WithRevision(n uint64) Lot {
	l.revision = n
	return l
}

// Revision returns the revision of the configuration under which the lot was accepted; zero if unknown. A process with an
// older one can't know what became of the lot's route.
func (l Lot) Revision() uint64 { return l.revision }

// WithRetention returns a copy whose items are not given up before d, whatever a later configuration says.
func (l Lot) WithRetention(d time.Duration) Lot {
	l.retention = d
	return l
}

// Retention returns the time before which its items are not given up by the configuration under which the lot was accepted;
// zero if unknown.
func (l Lot) Retention() time.Duration { return l.retention }

// Items returns the items.
func (l Lot) Items() []LotItem { return l.items }

// LotResult is the final result of one item; values are immutable.
type LotResult struct {
	item      uint32 // Index of the item in the lot.
	completed bool   // False if the item was abandoned.
	text      string // Data of all server-sent events, separated by line feeds.
}

// NewLotResult returns the result of item n.
func NewLotResult(n uint32, completed bool, text string) LotResult {
	return LotResult{item: n, completed: completed, text: text}
}

// Item returns the index of the item in the lot.
func (r LotResult) Item() uint32 { return r.item }

// Completed reports whether the item completed; false means that it was abandoned.
func (r LotResult) Completed() bool { return r.completed }

// Text returns the data of all server-sent events, separated by line feeds.
func (r LotResult) Text() string { return r.text }

// LotEntry is one entry of a lot's replicated log: the lot itself, a result, or the end of the lot.
type LotEntry struct {
	lot    *Lot
	result *LotResult
	ended  bool
}

// NewLotHeadEntry returns the first log entry of l, which holds the lot itself.
func NewLotHeadEntry(l Lot) LotEntry { return LotEntry{lot: &l} }

// NewLotResultEntry returns the log entry that records r.
func NewLotResultEntry(r LotResult) LotEntry { return LotEntry{result: &r} }

// NewLotEndEntry returns the log entry that ends a lot.
func NewLotEndEntry() LotEntry { return LotEntry{ended: true} }

// Lot returns the lot, or nil if this is not the first entry.
func (e LotEntry) Lot() *Lot { return e.lot }

// Result returns the result, or nil if the entry records none.
func (e LotEntry) Result() *LotResult { return e.result }

// Ended reports whether the entry ends the lot.
func (e LotEntry) Ended() bool { return e.ended }

// LotListedResult is one result as callers read it; it names the item by its identifier instead of its index.
type LotListedResult struct {
	id        string // Identifier of the item.
	completed bool
	text      string
}

// NewLotListedResult returns the result of the item with identifier i.
func NewLotListedResult(i string, completed bool, text string) LotListedResult {
	return LotListedResult{id: i, completed: completed, text: text}
}

// ID returns the identifier of the item.
func (l LotListedResult) ID() string { return l.id }

// Completed reports whether the item completed; false means that it was abandoned.
func (l LotListedResult) Completed() bool { return l.completed }

// Text returns the data of all server-sent events, separated by line feeds.
func (l LotListedResult) Text() string { return l.text }

// LotPage is one page of the results of a lot; values are immutable.
type LotPage struct {
	total   int // Number of items in the lot.
	next    int // Position after the last result of the page.
	results []LotListedResult
}

// NewLotPage returns the page that ends before position next.
func NewLotPage(total, next int, l []LotListedResult) LotPage {
	return LotPage{total: total, next: next, results: l}
}

// Total returns the number of items in the lot.
func (p LotPage) Total() int { return p.total }

// Next returns the position after the last result of the page.
func (p LotPage) Next() int { return p.next }

// Results returns the results in order of position.
func (p LotPage) Results() []LotListedResult { return p.results }

// LotQuery selects a lot, or part of one, on behalf of an organisation.
type LotQuery struct {
	id           string
	organisation string
	item         string        // Identifier of an item; empty if the query is about the whole lot.
	host         string        // Host that the caller named; empty for any.
	after        int           // Position of the first result to return.
	wait         time.Duration // How long to wait for a first result (long polling).
}

// NewLotQuery selects lot i of organisation o.
func NewLotQuery(i, o string) LotQuery { return LotQuery{id: i, organisation: o} }

// WithItem returns a copy that selects item i.
func (q LotQuery) WithItem(i string) LotQuery {
	q.item = i
	return q
}

// WithHost returns a copy for lots that were submitted to host h, without its port.
func (q LotQuery) WithHost(h string) LotQuery {
	q.host = h
	return q
}

// WithAfter returns a copy that selects the results from position n onwards and waits up to d for the first one.
func (q LotQuery) WithAfter(n int, d time.Duration) LotQuery {
	q.after, q.wait = n, d
	return q
}

// ID returns the identifier of the lot.
func (q LotQuery) ID() string { return q.id }

// Organisation returns the organisation that makes the query.
func (q LotQuery) Organisation() string { return q.organisation }

// Item returns the identifier of the item; empty if the query is about the whole lot.
func (q LotQuery) Item() string { return q.item }

// Host returns the host to which the lot was submitted, without its port; empty for any.
func (q LotQuery) Host() string { return q.host }

// After returns the position of the first result to return.
func (q LotQuery) After() int { return q.after }

// Wait returns how long to wait for a first result.
func (q LotQuery) Wait() time.Duration { return q.wait }

// Lots is the service that accepts lots and returns their results.
//
// KindNotFound means that the lot was never accepted or has expired.
type Lots interface {
	// Submit accepts l and is idempotent. On success the lot is durable: it survives the loss of the tolerated number of disks.
	Submit(c context.Context, l Lot) error
	// Read returns a page of results.
	Read(c context.Context, q LotQuery) (LotPage, error)
	// Body returns the request body of an item.
	Body(c context.Context, q LotQuery) ([]byte, error)
	// End ends a lot, so that no more of its items are started.
	End(c context.Context, q LotQuery) error
}

// LotProgress is part of the streamed response to an item in progress; values are immutable.
type LotProgress struct {
	item  uint32
	text  uint64   // Identifies the text that the events belong to. Within one text an event never changes.
	first uint64   // Event ID of the first event, at least one.
	data  []string // Data of the first event and of those after it.

	replaces uint64 // Identifies the text that was dropped in favour of this one; zero for none.
	failures int    // Runs of the item that a server failed, at least zero; never decreases.
}

// NewLotProgress returns the events of item n that belong to the given text, starting with event ID first.
func NewLotProgress(n uint32, text, first uint64, data []string) LotProgress {
	return LotProgress{item: n, text: text, first: first, data: data}
}

// Replacing returns a copy that says that the given text was dropped in favour of this one.
func (p LotProgress) Replacing(text uint64) LotProgress {
	p.replaces = text
	return p
}

// Replaces returns the identifier of the text that was dropped in favour of this one; zero for none.
func (p LotProgress) Replaces() uint64 { return p.replaces }

// WithFailures returns a copy that says that servers failed n runs of the item.
func (p LotProgress) WithFailures(n int) LotProgress {
	p.failures = n
	return p
}

// Failures returns the runs of the item that a server failed.
func (p LotProgress) Failures() int { return p.failures }

// Item returns the index of the item in the lot.
func (p LotProgress) Item() uint32 { return p.item }

// Text returns the identifier of the text that the events belong to. Events of two texts must not be joined, as they come
// from different runs of the item.
func (p LotProgress) Text() uint64 { return p.text }

// First returns the event ID of the first event.
func (p LotProgress) First() uint64 { return p.first }

// Data returns the data of the events.
func (p LotProgress) Data() []string { return p.data }

// Last returns the event ID of the last event; First() - 1 if there is none.
func (p LotProgress) Last() uint64 { return p.first + uint64(len(p.data)) - 1 }

// LotUpdate is a replication message for a lot's log, sent by the primary to the replicas; values are immutable.
type LotUpdate struct {
	lot       string
	epoch     uint64   // Increases with each change of the replica set.
	replicas  []string // Disks of the replica set in this epoch, the primary's first.
	offset    int      // Log position of the first entry; it replaces the receiver's entries from there on.
	entries   []LotEntry
	confirmed bool // The record in the key-value service has this epoch and replica set.
	progress  []LotProgress
	sender    string // Disk of the process that sent the update; empty if unknown.
	wants     bool   // The response is to contain the progress that the replica knows.

	receivedAt time.Time // When the lot was received, or later; zero if unknown.
}

// WithReceivedAt returns a copy of an update of a lot that was received at t, or earlier.
func (u LotUpdate) WithReceivedAt(t time.Time) LotUpdate {
	u.receivedAt = t
	return u
}

// ReceivedAt returns when the lot was received, or a later time; zero if unknown.
func (u LotUpdate) ReceivedAt() time.Time { return u.receivedAt }

// WithProgressWanted returns a copy that asks the replicas for the progress that they know.
func (u LotUpdate) WithProgressWanted(v bool) LotUpdate {
	u.wants = v
	return u
}

// WantsProgress reports whether the response is to contain the progress that the replica knows.
func (u LotUpdate) WantsProgress() bool { return u.wants }

// WithSender returns a copy that names disk d as that of the process that sends the update.
func (u LotUpdate) WithSender(d string) LotUpdate {
	u.sender = d
	return u
}

// Sender returns the disk of the process that sent the update, which is not always that of a replica; empty if unknown.
func (u LotUpdate) Sender() string { return u.sender }

// WithProgress returns a copy that adds the progress of running items, which replicas keep in memory only.
func (u LotUpdate) WithProgress(l []LotProgress) LotUpdate {
	u.progress = l
	return u
}

// Progress returns the progress of running items.
func (u LotUpdate) Progress() []LotProgress { return u.progress }

// NewLotUpdate returns the update of lot i in epoch n that writes l at log position offset.
func NewLotUpdate(i string, n uint64, replicas []string, offset int, l []LotEntry, confirmed bool) LotUpdate {
	return LotUpdate{lot: i, epoch: n, replicas: replicas, offset: offset, entries: l, confirmed: confirmed}
}

// Lot returns the identifier of the lot.
func (u LotUpdate) Lot() string { return u.lot }

// Epoch returns the epoch of the replica set.
func (u LotUpdate) Epoch() uint64 { return u.epoch }

// Replicas returns the disks of the replica set, the primary's first.
func (u LotUpdate) Replicas() []string { return u.replicas }

// Offset returns the log position of the first entry.
func (u LotUpdate) Offset() int { return u.offset }

// Entries returns the log entries.
func (u LotUpdate) Entries() []LotEntry { return u.entries }

// Confirmed reports whether the record in the key-value service has this epoch.
func (u LotUpdate) Confirmed() bool { return u.confirmed }

// LotReplicaState is a replica's response to a replication call; values are immutable.
type LotReplicaState struct {
	ok       bool          // The replica is in the epoch of the call.
	epoch    uint64        // Epoch of the replica; zero if it has no copy of the lot.
	length   int           // Number of log entries on the replica; zero, in an epoch, if it can't store any more.
	progress []LotProgress // Progress of running items, if the call wanted it.

	receivedAt time.Time // When the lot was received, or later; zero if unknown.
}

// WithReceivedAt returns a copy of the state of a lot that was received at t, or earlier.
func (s LotReplicaState) WithReceivedAt(t time.Time) LotReplicaState {
	s.receivedAt = t
	return s
}

// ReceivedAt returns when the lot was received, or a later time; zero if unknown.
func (s LotReplicaState) ReceivedAt() time.Time { return s.receivedAt }

// NewLotReplicaState returns the state of a replica.
func NewLotReplicaState(ok bool, epoch uint64, length int) LotReplicaState {
	return LotReplicaState{ok: ok, epoch: epoch, length: length}
}

// WithProgress returns a copy with the progress of running items that the replica knows.
func (s LotReplicaState) WithProgress(l []LotProgress) LotReplicaState {
	s.progress = l
	return s
}

// Progress returns the progress of running items that the replica knows, if the call wanted it.
func (s LotReplicaState) Progress() []LotProgress { return s.progress }

// OK reports whether the replica is in the epoch of the call.
func (s LotReplicaState) OK() bool { return s.ok }

// Epoch returns the epoch of the replica; zero if it has no copy of the lot.
func (s LotReplicaState) Epoch() uint64 { return s.epoch }

// Length returns the number of log entries on the replica; zero, in an epoch, if it can't store any more.
func (s LotReplicaState) Length() int { return s.length }

// LotReplicaClient calls the replicas of lots on other VMs.
type LotReplicaClient interface {
	// Append applies u to the replica at address; it returns once u is synced to disk.
	Append(c context.Context, address string, u LotUpdate) (LotReplicaState, error)
	// Verify checks whether the replica at address is in epoch n of lot i.
	Verify(c context.Context, address, i string, n uint64) (LotReplicaState, error)
	// Forget deletes the replica of lot i at address, unless it is in a later epoch than n.
	Forget(c context.Context, address, i string, n uint64) error
	// Withdraw deletes the replica of lot i at address if it was never confirmed and was created by the primary on disk d.
	Withdraw(c context.Context, address, i, d string) error
}

// LotLog stores the logs of lots on the local disk.
type LotLog interface {
	// Append writes u to the log; it returns once u is synced to disk.
	Append(u LotUpdate) error
	// Load replays all stored updates to f in the order in which they were appended.
	Load(f func(u LotUpdate)) error
	// Drop deletes the log of lot i.
	Drop(i string) error
}

// LotRecord is the record of a lot's replica set in the key-value service; values are immutable.
type LotRecord struct {
	epoch        uint64   // Increases with each change of the replica set.
	replicas     []string // Disks of the replica set, the primary's first.
	organisation string   // Organisation that owns the lot.
}

// NewLotRecord returns the record of a lot whose replica set has epoch n.
func NewLotRecord(n uint64, replicas []string, organisation string) LotRecord {
	return LotRecord{epoch: n, replicas: replicas, organisation: organisation}
}

// Epoch returns the epoch of the replica set.
func (r LotRecord) Epoch() uint64 { return r.epoch }

// Replicas returns the disks of the replica set, the primary's first.
func (r LotRecord) Replicas() []string { return r.replicas }

// Organisation returns the organisation that owns the lot.
func (r LotRecord) Organisation() string { return r.organisation }
