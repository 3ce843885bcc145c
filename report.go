package bulrushlug

// Usage counts the requests that one process has under way at one backend server.
type Usage struct {
	backend string
	online  uint32
	batch   uint32
}

// NewUsage returns the usage of backend server b.
func NewUsage(b string, online, batch uint32) Usage {
	return Usage{backend: b, online: online, batch: batch}
}

// Backend returns the identifier of the backend server.
func (u Usage) Backend() string { return u.backend }

// Online returns the online requests.
func (u Usage) Online() uint32 { return u.online }

// Batch returns the batch items.
func (u Usage) Batch() uint32 { return u.batch }

// AdmissionCount counts what one process admitted of an organisation.
type AdmissionCount struct {
	organisation string
	admitted     uint64  // Requests since the start of the process; never falls.
	level        float64 // Admissions left by the process's own count.
}

// NewAdmissionCount returns the spending of organisation o.
func NewAdmissionCount(o string, admitted uint64, level float64) AdmissionCount {
	return AdmissionCount{organisation: o, admitted: admitted, level: level}
}

// Organisation returns the organisation.
func (s AdmissionCount) Organisation() string { return s.organisation }

// Admitted returns the requests admitted since the start of the process.
func (s AdmissionCount) Admitted() uint64 { return s.admitted }

// Level returns the admissions left by the process's own count.
func (s AdmissionCount) Level() float64 { return s.level }

// Report tells other processes what one process has under way; values are immutable.
type Report struct {
	member    Member
	boot      uint64 // Unix milliseconds of the start of the process.
	sequence  uint64 // Rises with each report of one boot.
	disk      string // Identity of the disk; empty where there is none.
	manifest  uint64 // Newest version that the process has; zero for none.
	operated  uint64 // Revision of the newest change by operators that the process saw.
	servers   uint64 // Revision of the newest change of a backend server's entry that the process saw.
	storeLost bool   // The process can't reach the key-value service.
	usages    []Usage
	spendings []AdmissionCount
	lots      []string // Lots whose primary the process lately became.
	forward   []string // Addresses of processes that the reporting one does not hear; the receiver passes the report on.
	relayed   bool     // Another process than the reporting one sent it.
}

// ReportOption sets some fields of a report.
type ReportOption func(r *Report)

// NewReport returns report n of the process m that started at boot.
func NewReport(m Member, boot, n uint64, o ...ReportOption) Report {
	r := Report{member: m, boot: boot, sequence: n}
	for _, f := range o {
		f(&r)
	}
	return r
}

// ReportState sets the identity of the disk and the version of the manifest.
func ReportState(disk string, manifest uint64) ReportOption {
	return func(r *Report) { r.disk, r.manifest = disk, manifest }
}

// ReportSeen sets the revisions of the newest changes by operators and of backend servers that the process saw.
func ReportSeen(operated, servers uint64) ReportOption {
	return func(r *Report) { r.operated, r.servers = operated, servers }
}

// ReportStoreLost says whether the process can't reach the key-value service.
func ReportStoreLost(v bool) ReportOption { return func(r *Report) { r.storeLost = v } }

// ReportUsages sets what the process has under way.
func ReportUsages(l []Usage) ReportOption { return func(r *Report) { r.usages = l } }

// ReportAdmissionCounts sets what the process admitted.
func ReportAdmissionCounts(l []AdmissionCount) ReportOption {
	return func(r *Report) { r.spendings = l }
}

// ReportLots sets the lots whose primary the process lately became.
func ReportLots(l []string) ReportOption { return func(r *Report) { r.lots = l } }

// ReportForward sets the addresses to which the receiver passes the report on.
func ReportForward(l []string) ReportOption { return func(r *Report) { r.forward = l } }

// ReportRelayed says whether another process than the reporting one sends the report.
func ReportRelayed(v bool) ReportOption { return func(r *Report) { r.relayed = v } }

// With returns a copy of r with other options.
func (r Report) With(o ...ReportOption) Report {
	for _, f := range o {
		f(&r)
	}
	return r
}

// Forward returns the addresses to which the receiver passes the report on.
func (r Report) Forward() []string { return r.forward }

// Relayed reports whether another process than the reporting one sent the report.
func (r Report) Relayed() bool { return r.relayed }

// Member returns the process.
func (r Report) Member() Member { return r.member }

// Boot returns the start of the process in Unix milliseconds.
func (r Report) Boot() uint64 { return r.boot }

// Sequence returns the number of the report.
func (r Report) Sequence() uint64 { return r.sequence }

// Disk returns the identity of the disk, or nothing.
func (r Report) Disk() string { return r.disk }

// Manifest returns the newest version that the process has.
func (r Report) Manifest() uint64 { return r.manifest }

// Seen returns the revisions of the newest changes by operators and of backend servers that the process saw.
func (r Report) Seen() (operated, servers uint64) { return r.operated, r.servers }

// StoreLost reports whether the process can't reach the key-value service.
func (r Report) StoreLost() bool { return r.storeLost }

// Usages returns what the process has under way.
func (r Report) Usages() []Usage { return r.usages }

// AdmissionCounts returns what the process admitted.
func (r Report) AdmissionCounts() []AdmissionCount { return r.spendings }

// Lots returns the lots whose primary the process lately became.
func (r Report) Lots() []string { return r.lots }
