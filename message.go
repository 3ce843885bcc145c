package bulrushlug

import "time"

// Message is the content of one datagram between two processes; any of its parts may be absent.
type Message struct {
	from             string // VM of the sender.
	address          string // host:port of the sender.
	loadReports      []LoadReport
	digest           *Digest
	changes          []Change // In order of revision.
	admissionRequest *AdmissionRequest
	grant            *Grant
	release          *Release
	released         *Released
	report           *Report
}

// MessagePart adds one part to a message.
type MessagePart func(m *Message)

// NewMessage returns a message with the given parts.
func NewMessage(o ...MessagePart) Message {
	var m Message
	for _, f := range o {
		f(&m)
	}
	return m
}

// MessageFrom sets the VM and address of the sender.
func MessageFrom(v, a string) MessagePart { return func(m *Message) { m.from, m.address = v, a } }

// MessageLoadReports adds load reports.
func MessageLoadReports(l ...LoadReport) MessagePart { return func(m *Message) { m.loadReports = l } }

// MessageDigest adds a digest.
func MessageDigest(d Digest) MessagePart { return func(m *Message) { m.digest = &d } }

// MessageChanges adds changes of the configuration.
func MessageChanges(l []Change) MessagePart { return func(m *Message) { m.changes = l } }

// MessageAdmissionRequest adds a request for admissions.
func MessageAdmissionRequest(a AdmissionRequest) MessagePart {
	return func(m *Message) { m.admissionRequest = &a }
}

// MessageGrant adds the response to an admission request.
func MessageGrant(g Grant) MessagePart { return func(m *Message) { m.grant = &g } }

// MessageRelease adds a request to hand over an organisation.
func MessageRelease(r Release) MessagePart { return func(m *Message) { m.release = &r } }

// MessageReleased adds the response to a handover request.
func MessageReleased(r Released) MessagePart { return func(m *Message) { m.released = &r } }

// MessageReport adds a usage report.
func MessageReport(r Report) MessagePart { return func(m *Message) { m.report = &r } }

// WithSender returns a copy whose sender is VM v at address a.
func (m Message) WithSender(v, a string) Message {
	m.from, m.address = v, a
	return m
}

// From returns the VM of the sender.
func (m Message) From() string { return m.from }

// Address returns the address of the sender.
func (m Message) Address() string { return m.address }

// LoadReports returns the load reports.
func (m Message) LoadReports() []LoadReport { return m.loadReports }

// Digest returns the digest, or nil.
func (m Message) Digest() *Digest { return m.digest }

// Changes returns the changes of the configuration.
func (m Message) Changes() []Change { return m.changes }

// AdmissionRequest returns the request for admissions, or nil.
func (m Message) AdmissionRequest() *AdmissionRequest { return m.admissionRequest }

// Grant returns the response to an admission request, or nil.
func (m Message) Grant() *Grant { return m.grant }

// Release returns the request to hand over an organisation, or nil.
func (m Message) Release() *Release { return m.release }

// Released returns the response to a handover request, or nil.
func (m Message) Released() *Released { return m.released }

// Report returns the usage report, or nil.
func (m Message) Report() *Report { return m.report }

// Messenger sends messages without delivery guarantees: they may be lost, delayed, duplicated or reordered.
type Messenger interface {
	// Send sends m to the process at address a and never blocks on the network.
	Send(a string, m Message)
	// SendAll sends m to the process at each address of l as Send does.
	SendAll(l []string, m Message)
}

// AdmissionRequest requests admissions, tokens of an organisation's token bucket, from the organisation's home: the VM
// that owns the bucket according to the ring.
type AdmissionRequest struct {
	organisation string
	count        uint32 // At least one.
	sequence     uint64 // Unique per sender; echoed in the grant.
}

// NewAdmissionRequest returns the request with sequence number n for c admissions of organisation o.
func NewAdmissionRequest(o string, c uint32, n uint64) AdmissionRequest {
	return AdmissionRequest{organisation: o, count: c, sequence: n}
}

// Organisation returns the organisation.
func (a AdmissionRequest) Organisation() string { return a.organisation }

// Count returns the number of admissions requested.
func (a AdmissionRequest) Count() uint32 { return a.count }

// Sequence returns the sequence number of the request.
func (a AdmissionRequest) Sequence() uint64 { return a.sequence }

// Grant is the response to an AdmissionRequest.
type Grant struct {
	organisation string
	count        uint32        // Admissions granted, at most as many as requested.
	sequence     uint64        // Sequence number of the request.
	wait         time.Duration // Time until the next admission is available, if fewer were granted than requested.
	home         bool          // False if the sender is not the organisation's home; count is then zero.
}

// NewGrant returns the home's response to a: c admissions, and w until the next one is available.
func NewGrant(a AdmissionRequest, c uint32, w time.Duration) Grant {
	return Grant{organisation: a.organisation, count: c, sequence: a.sequence, wait: w, home: true}
}

// NewGrantRefusal returns the response to a of a process that is not the organisation's home.
func NewGrantRefusal(a AdmissionRequest) Grant {
	return Grant{organisation: a.organisation, sequence: a.sequence}
}

// Organisation returns the organisation.
func (g Grant) Organisation() string { return g.organisation }

// Count returns the number of admissions granted.
func (g Grant) Count() uint32 { return g.count }

// Sequence returns the sequence number of the request.
func (g Grant) Sequence() uint64 { return g.sequence }

// Wait returns the time until the next admission is available.
func (g Grant) Wait() time.Duration { return g.wait }

// Home reports whether the sender is the organisation's home.
func (g Grant) Home() bool { return g.home }

// Release requests a handover: it asks the previous home of an organisation to stop granting admissions.
type Release struct {
	organisation string
	epoch        uint64 // Epoch of the ring that makes the sender the home.
}

// NewRelease returns the request to hand over organisation o to its home in the ring with epoch e.
func NewRelease(o string, e uint64) Release { return Release{organisation: o, epoch: e} }

// Organisation returns the organisation.
func (r Release) Organisation() string { return r.organisation }

// Epoch returns the epoch of the ring that makes the sender the home.
func (r Release) Epoch() uint64 { return r.epoch }

// Released is the response to a Release: the sender has stopped granting admissions for the organisation.
type Released struct {
	organisation string
	epoch        uint64  // Ring epoch of the request.
	balance      float64 // Tokens left in the bucket, at least zero.
}

// NewReleased returns the response to r with b tokens left in the bucket.
func NewReleased(r Release, b float64) Released {
	return Released{organisation: r.organisation, epoch: r.epoch, balance: b}
}

// Organisation returns the organisation.
func (r Released) Organisation() string { return r.organisation }

// Epoch returns the ring epoch of the request.
func (r Released) Epoch() uint64 { return r.epoch }

// Balance returns the tokens left in the bucket, at least zero.
func (r Released) Balance() float64 { return r.balance }
