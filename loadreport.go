package bulrushlug

// LoadReport is the load report that an agent sends about itself; values are immutable.
type LoadReport struct {
	vm       string // Non-empty.
	address  string // host:port of the agent.
	region   string
	zone     string
	boot     string   // Changes with each start of the process; tells restarts apart.
	sequence uint64   // Increases with each report within one boot.
	leaving  bool     // The agent accepts no new work.
	slots    uint32   // Maximum number of concurrent requests.
	online   uint32   // Online requests in progress.
	batch    uint32   // Batch items in progress.
	queued   uint32   // Online requests in the queue.
	models   []string // Loaded models.
	services []string // Plain HTTP services on the agent's VM.
}

// LoadReportOption configures a new LoadReport.
type LoadReportOption func(l *LoadReport)

// NewLoadReport returns the load report with sequence number n of the agent on VM v.
func NewLoadReport(v string, n uint64, o ...LoadReportOption) LoadReport {
	l := LoadReport{vm: v, sequence: n}
	for _, f := range o {
		f(&l)
	}
	return l
}

// LoadReportAt sets address (host:port), region, zone and boot.
func LoadReportAt(address, region, zone, boot string) LoadReportOption {
	return func(l *LoadReport) { l.address, l.region, l.zone, l.boot = address, region, zone, boot }
}

// LoadReportCounts sets the number of slots and the numbers of running and queued requests.
func LoadReportCounts(slots, online, batch, queued uint32) LoadReportOption {
	return func(l *LoadReport) { l.slots, l.online, l.batch, l.queued = slots, online, batch, queued }
}

// LoadReportServes sets the loaded models and the plain services.
func LoadReportServes(models, services []string) LoadReportOption {
	return func(l *LoadReport) { l.models, l.services = models, services }
}

// LoadReportLeaving sets whether the agent is leaving.
func LoadReportLeaving(v bool) LoadReportOption { return func(l *LoadReport) { l.leaving = v } }

// VM returns the VM.
func (l LoadReport) VM() string { return l.vm }

// Address returns host:port of the agent.
func (l LoadReport) Address() string { return l.address }

// Region returns the region.
func (l LoadReport) Region() string { return l.region }

// Zone returns the availability zone.
func (l LoadReport) Zone() string { return l.zone }

// Boot returns the identifier of the agent's current run.
func (l LoadReport) Boot() string { return l.boot }

// Sequence returns the sequence number of the report.
func (l LoadReport) Sequence() uint64 { return l.sequence }

// Leaving reports whether the agent accepts no new work.
func (l LoadReport) Leaving() bool { return l.leaving }

// Slots returns the maximum number of concurrent requests.
func (l LoadReport) Slots() uint32 { return l.slots }

// Online returns the number of online requests in progress.
func (l LoadReport) Online() uint32 { return l.online }

// Batch returns the number of batch items in progress.
func (l LoadReport) Batch() uint32 { return l.batch }

// Queued returns the number of online requests in the queue.
func (l LoadReport) Queued() uint32 { return l.queued }

// Models returns the loaded models.
func (l LoadReport) Models() []string { return l.models }

// Services returns the plain HTTP services on the agent's VM.
func (l LoadReport) Services() []string { return l.services }
