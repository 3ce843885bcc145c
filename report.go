package bulrushlug

// Usage is the number of requests that one process has in flight at one backend server, and what the server lately
// answered to it.
type Usage struct {
	backend string
	online  uint32
	batch   uint32
	answers Answers
}

// NewUsage returns the usage of backend server b.
func NewUsage(b string, online, batch uint32) Usage {
	return Usage{backend: b, online: online, batch: batch}
}

// Backend returns the identifier of the backend server.
func (u Usage) Backend() string { return u.backend }

// Online returns the number of online requests in flight.
func (u Usage) Online() uint32 { return u.online }

// Batch returns the number of batch items in flight.
func (u Usage) Batch() uint32 { return u.batch }

// WithAnswers returns a copy with answers a.
func (u Usage) WithAnswers(a Answers) Usage {
	u.answers = a
	return u
}

// Answers returns what the server lately answered to the process.
func (u Usage) Answers() Answers { return u.answers }

// AdmissionCount is the number of an organisation's requests that one process admitted; the other processes take them
// out of their own token buckets.
type AdmissionCount struct {
	organisation string
	admitted     uint64  // Requests since the start of the process; never decreases.
	level        float64 // Tokens left in the process's own bucket; may be negative.
}

// NewAdmissionCount returns the admission count of organisation o.
func NewAdmissionCount(o string, admitted uint64, level float64) AdmissionCount {
	return AdmissionCount{organisation: o, admitted: admitted, level: level}
}

// Organisation returns the organisation.
func (s AdmissionCount) Organisation() string { return s.organisation }

// Admitted returns the requests admitted since the start of the process.
func (s AdmissionCount) Admitted() uint64 { return s.admitted }

// Level returns the tokens left in the process's own bucket; may be negative.
func (s AdmissionCount) Level() float64 { return s.level }

// Report is the periodic heartbeat of a process, with its state and requests in flight; values are immutable.
type Report struct {
	member           Member
	boot             uint64 // Start of the process in Unix milliseconds.
	sequence         uint64 // Increases with each report within one boot.
	disk             string // Identifier of the data disk; empty if there is none.
	manifest         uint64 // Newest manifest version that the process has; zero if it has none.
	operatorRevision uint64 // Revision of the newest operator change that the process has seen.
	backendRevision  uint64 // Revision of the newest backend server registration that the process has seen.
	storeLost        bool   // The process can't reach the key-value service.
	usages           []Usage
	admissionCounts  []AdmissionCount
	lots             []string  // Lots of which the process recently became the primary.
	forwardTo        []string  // Addresses of processes that the sender does not hear from; the receiver relays the report to them.
	relayed          bool      // The report was relayed by another process.
	suspects         []Suspect // Parts of prompts on which servers may have ended.
	serverEnds       []ServerEnd
	leaving          []Backend    // Backend servers that told the process that they are leaving; identity only.
	unreachable      []string     // Identifiers of the backend servers to which the process lately could make no connection.
	cold             []ColdServer // Backend servers that lately told the process that they are cold.
}

// ReportOption sets fields of a Report.
type ReportOption func(r *Report)

// NewReport returns the report with sequence number n of process m that started at boot (Unix milliseconds).
func NewReport(m Member, boot, n uint64, o ...ReportOption) Report {
	r := Report{member: m, boot: boot, sequence: n}
	for _, f := range o {
		f(&r)
	}
	return r
}

// ReportState sets the identifier of the data disk and the version of the manifest.
func ReportState(disk string, manifest uint64) ReportOption {
	return func(r *Report) { r.disk, r.manifest = disk, manifest }
}

// ReportSeenRevisions sets the newest revisions of operator changes and of backend server registrations that the process has seen.
func ReportSeenRevisions(operatorRevision, backendRevision uint64) ReportOption {
	return func(r *Report) { r.operatorRevision, r.backendRevision = operatorRevision, backendRevision }
}

// ReportStoreLost sets whether the process can't reach the key-value service.
func ReportStoreLost(v bool) ReportOption { return func(r *Report) { r.storeLost = v } }

// ReportUsages sets the requests that the process has in flight.
func ReportUsages(l []Usage) ReportOption { return func(r *Report) { r.usages = l } }

// ReportAdmissionCounts sets the requests that the process admitted, by organisation.
func ReportAdmissionCounts(l []AdmissionCount) ReportOption {
	return func(r *Report) { r.admissionCounts = l }
}

// ReportLots sets the lots of which the process recently became the primary.
func ReportLots(l []string) ReportOption { return func(r *Report) { r.lots = l } }

// ReportLeaving sets the backend servers that told the process that they are leaving.
func ReportLeaving(l []Backend) ReportOption { return func(r *Report) { r.leaving = l } }

// ReportUnreachable sets the identifiers of the backend servers to which the process lately could make no connection.
func ReportUnreachable(l []string) ReportOption { return func(r *Report) { r.unreachable = l } }

// ReportCold sets the backend servers that lately told the process that they are cold.
func ReportCold(l []ColdServer) ReportOption { return func(r *Report) { r.cold = l } }

// ReportForwardTo sets the addresses to which the receiver relays the report.
func ReportForwardTo(l []string) ReportOption { return func(r *Report) { r.forwardTo = l } }

// ReportRelayed sets whether the report is relayed by another process.
func ReportRelayed(v bool) ReportOption { return func(r *Report) { r.relayed = v } }

// ReportServerEnds sets the backend servers that ended lately.
func ReportServerEnds(l []ServerEnd) ReportOption { return func(r *Report) { r.serverEnds = l } }

// ReportSuspects sets the parts of prompts on which servers may have ended.
func ReportSuspects(l []Suspect) ReportOption { return func(r *Report) { r.suspects = l } }

// With returns a copy of r with the given options applied.
func (r Report) With(o ...ReportOption) Report {
	for _, f := range o {
		f(&r)
	}
	return r
}

// ForwardTo returns the addresses to which the receiver relays the report.
func (r Report) ForwardTo() []string { return r.forwardTo }

// Relayed reports whether the report was relayed by another process.
func (r Report) Relayed() bool { return r.relayed }

// Member returns the process that the report is about.
func (r Report) Member() Member { return r.member }

// Boot returns the start of the process in Unix milliseconds.
func (r Report) Boot() uint64 { return r.boot }

// Sequence returns the sequence number of the report.
func (r Report) Sequence() uint64 { return r.sequence }

// Disk returns the identifier of the data disk; empty if there is none.
func (r Report) Disk() string { return r.disk }

// Manifest returns the newest manifest version that the process has; zero if it has none.
func (r Report) Manifest() uint64 { return r.manifest }

// SeenRevisions returns the newest revisions of operator changes and of backend server registrations that the process has seen.
func (r Report) SeenRevisions() (operatorRevision, backendRevision uint64) {
	return r.operatorRevision, r.backendRevision
}

// StoreLost reports whether the process can't reach the key-value service.
func (r Report) StoreLost() bool { return r.storeLost }

// Usages returns the requests that the process has in flight.
func (r Report) Usages() []Usage { return r.usages }

// AdmissionCounts returns the requests that the process admitted, by organisation.
func (r Report) AdmissionCounts() []AdmissionCount { return r.admissionCounts }

// Lots returns the lots of which the process recently became the primary.
func (r Report) Lots() []string { return r.lots }

// ServerEnds returns the backend servers that ended lately.
func (r Report) ServerEnds() []ServerEnd { return r.serverEnds }

// Unreachable returns the identifiers of the backend servers to which the process lately could make no connection.
func (r Report) Unreachable() []string { return r.unreachable }

// Cold returns the backend servers that lately told the process that they are cold.
func (r Report) Cold() []ColdServer { return r.cold }

// Suspects returns the parts of prompts on which servers may have ended.
func (r Report) Suspects() []Suspect { return r.suspects }

// Leaving returns the backend servers that told the process that they are leaving, without zone and slots.
func (r Report) Leaving() []Backend { return r.leaving }
