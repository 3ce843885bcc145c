package bulrushlug

import "time"

// Message is one datagram between two processes; it holds any of its parts.
type Message struct {
	from     string // VM of the sender.
	address  string // host:port of the sender.
	loads    []Load
	digest   *Digest
	changes  []Change // In the order of revisions.
	ask      *AdmissionRequest
	grant    *Grant
	release  *Release
	released *Released
	report   *Report
}

// MessageOption adds one part to a message.
type MessageOption func(m *Message)

// NewMessage returns a message with the given parts.
func NewMessage(o ...MessageOption) Message {
	var m Message
	for _, f := range o {
		f(&m)
	}
	return m
}

// MessageFrom sets VM and address of the sender.
func MessageFrom(v, a string) MessageOption { return func(m *Message) { m.from, m.address = v, a } }

// MessageLoads adds load reports.
func MessageLoads(l ...Load) MessageOption { return func(m *Message) { m.loads = l } }

// MessageDigest adds a digest.
func MessageDigest(d Digest) MessageOption { return func(m *Message) { m.digest = &d } }

// MessageChanges adds changes of the configuration.
func MessageChanges(l []Change) MessageOption { return func(m *Message) { m.changes = l } }

// MessageAdmissionRequest adds a question for admissions.
func MessageAdmissionRequest(a AdmissionRequest) MessageOption {
	return func(m *Message) { m.ask = &a }
}

// MessageGrant adds the answer to a question for admissions.
func MessageGrant(g Grant) MessageOption { return func(m *Message) { m.grant = &g } }

// MessageRelease adds a request to release an organisation.
func MessageRelease(r Release) MessageOption { return func(m *Message) { m.release = &r } }

// MessageReleased adds the answer to a request to release.
func MessageReleased(r Released) MessageOption { return func(m *Message) { m.released = &r } }

// MessageReport adds a report of usage.
func MessageReport(r Report) MessageOption { return func(m *Message) { m.report = &r } }

// WithSender returns a copy from VM v at address a.
func (m Message) WithSender(v, a string) Message {
	m.from, m.address = v, a
	return m
}

// From returns the VM of the sender.
func (m Message) From() string { return m.from }

// Address returns the address of the sender.
func (m Message) Address() string { return m.address }

// Loads returns the load reports.
func (m Message) Loads() []Load { return m.loads }

// Digest returns the digest, or nil.
func (m Message) Digest() *Digest { return m.digest }

// Changes returns the changes of the configuration.
func (m Message) Changes() []Change { return m.changes }

// AdmissionRequest returns the question for admissions, or nil.
func (m Message) AdmissionRequest() *AdmissionRequest { return m.ask }

// Grant returns the answer to a question for admissions, or nil.
func (m Message) Grant() *Grant { return m.grant }

// Release returns the request to release an organisation, or nil.
func (m Message) Release() *Release { return m.release }

// Released returns the answer to a request to release, or nil.
func (m Message) Released() *Released { return m.released }

// Report returns the report of usage, or nil.
func (m Message) Report() *Report { return m.report }

// Messenger sends messages; they may be lost, late, doubled or out of order.
type Messenger interface {
	// Send sends m to the process at a and never blocks on the network.
	Send(a string, m Message)
}

// AdmissionRequest asks the home of an organisation for admissions.
type AdmissionRequest struct {
	organisation string
	count        uint32 // At least one.
	sequence     uint64 // Unique for the sender; echoed in the grant.
}

// NewAdmissionRequest returns question n for c admissions of o.
func NewAdmissionRequest(o string, c uint32, n uint64) AdmissionRequest {
	return AdmissionRequest{organisation: o, count: c, sequence: n}
}

// Organisation returns the organisation.
func (a AdmissionRequest) Organisation() string { return a.organisation }

// Count returns how many admissions are asked for.
func (a AdmissionRequest) Count() uint32 { return a.count }

// Sequence returns the number of the question.
func (a AdmissionRequest) Sequence() uint64 { return a.sequence }

// Grant answers a question for admissions.
type Grant struct {
	organisation string
	count        uint32        // Admissions given; at most those asked for.
	sequence     uint64        // Number of the question.
	wait         time.Duration // Time until one more admission, where fewer are given than asked for.
	home         bool          // False if the sender is not the home; then count is zero.
}

// NewGrant returns the answer of the home to a.
func NewGrant(a AdmissionRequest, c uint32, w time.Duration) Grant {
	return Grant{organisation: a.organisation, count: c, sequence: a.sequence, wait: w, home: true}
}

// NewGrantRefusal returns the answer of a process that is not the home.
func NewGrantRefusal(a AdmissionRequest) Grant {
	return Grant{organisation: a.organisation, sequence: a.sequence}
}

// Organisation returns the organisation.
func (g Grant) Organisation() string { return g.organisation }

// Count returns how many admissions are given.
func (g Grant) Count() uint32 { return g.count }

// Sequence returns the number of the question.
func (g Grant) Sequence() uint64 { return g.sequence }

// Wait returns the time until one more admission.
func (g Grant) Wait() time.Duration { return g.wait }

// Home reports whether the sender is the home.
func (g Grant) Home() bool { return g.home }

// Release asks the previous home of an organisation to stop granting.
type Release struct {
	organisation string
	epoch        uint64 // Ring by which the sender is the home.
}

// NewRelease returns the request to release o to the home of ring e.
func NewRelease(o string, e uint64) Release { return Release{organisation: o, epoch: e} }

// Organisation returns the organisation.
func (r Release) Organisation() string { return r.organisation }

// Epoch returns the ring.
func (r Release) Epoch() uint64 { return r.epoch }

// Released says that the sender grants nothing for an organisation any more.
type Released struct {
	organisation string
	epoch        uint64  // Ring of the request.
	balance      float64 // Admissions left in the bucket, at least zero.
}

// NewReleased returns the answer to r with what is left in the bucket.
func NewReleased(r Release, b float64) Released {
	return Released{organisation: r.organisation, epoch: r.epoch, balance: b}
}

// Organisation returns the organisation.
func (r Released) Organisation() string { return r.organisation }

// Epoch returns the ring of the request.
func (r Released) Epoch() uint64 { return r.epoch }

// Balance returns the admissions left in the bucket.
func (r Released) Balance() float64 { return r.balance }
