package bulrushlug

// Load is the load report that an agent sends about itself; values are immutable.
type Load struct {
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

// LoadOption configures a new Load.
type LoadOption func(l *Load)

// NewLoad returns the load report with sequence number n of the agent on VM v.
func NewLoad(v string, n uint64, o ...LoadOption) Load {
	l := Load{vm: v, sequence: n}
	for _, f := range o {
		f(&l)
	}
	return l
}

// LoadAt sets address (host:port), region, zone and boot.
func LoadAt(address, region, zone, boot string) LoadOption {
	return func(l *Load) { l.address, l.region, l.zone, l.boot = address, region, zone, boot }
}

// LoadCounts sets the number of slots and the numbers of running and queued requests.
func LoadCounts(slots, online, batch, queued uint32) LoadOption {
	return func(l *Load) { l.slots, l.online, l.batch, l.queued = slots, online, batch, queued }
}

// LoadServes sets the loaded models and the plain services.
func LoadServes(models, services []string) LoadOption {
	return func(l *Load) { l.models, l.services = models, services }
}

// LoadLeaving sets whether the agent is leaving.
func LoadLeaving(v bool) LoadOption { return func(l *Load) { l.leaving = v } }

// VM returns the VM.
func (l Load) VM() string { return l.vm }

// Address returns host:port of the agent.
func (l Load) Address() string { return l.address }

// Region returns the region.
func (l Load) Region() string { return l.region }

// Zone returns the availability zone.
func (l Load) Zone() string { return l.zone }

// Boot returns the identifier of the agent's current run.
func (l Load) Boot() string { return l.boot }

// Sequence returns the sequence number of the report.
func (l Load) Sequence() uint64 { return l.sequence }

// Leaving reports whether the agent accepts no new work.
func (l Load) Leaving() bool { return l.leaving }

// Slots returns the maximum number of concurrent requests.
func (l Load) Slots() uint32 { return l.slots }

// Online returns the number of online requests in progress.
func (l Load) Online() uint32 { return l.online }

// Batch returns the number of batch items in progress.
func (l Load) Batch() uint32 { return l.batch }

// Queued returns the number of online requests in the queue.
func (l Load) Queued() uint32 { return l.queued }

// Models returns the loaded models.
func (l Load) Models() []string { return l.models }

// Services returns the plain HTTP services on the agent's VM.
func (l Load) Services() []string { return l.services }
