package bulrushlug

// Load is what an agent reports of itself; values are immutable.
type Load struct {
	vm       string // Never empty.
	address  string // host:port of the agent.
	region   string
	zone     string
	boot     string   // Changes with each start of the process.
	sequence uint64   // Rises with each report of one boot.
	leaving  bool     // The agent takes no new work.
	slots    uint32   // Requests that run at once.
	online   uint32   // Online requests that run.
	batch    uint32   // Batch items that run.
	queued   uint32   // Online requests that wait.
	models   []string // Models that are loaded.
	services []string // Plain services beside the agent.
}

// LoadOption sets some fields of a load report.
type LoadOption func(l *Load)

// NewLoad returns report n of the agent on VM v.
func NewLoad(v string, n uint64, o ...LoadOption) Load {
	l := Load{vm: v, sequence: n}
	for _, f := range o {
		f(&l)
	}
	return l
}

// LoadAt sets address, region, zone and boot.
func LoadAt(address, region, zone, boot string) LoadOption {
	return func(l *Load) { l.address, l.region, l.zone, l.boot = address, region, zone, boot }
}

// LoadCounts sets the counts of slots and of requests.
func LoadCounts(slots, online, batch, queued uint32) LoadOption {
	return func(l *Load) { l.slots, l.online, l.batch, l.queued = slots, online, batch, queued }
}

// LoadServes sets what the agent serves.
func LoadServes(models, services []string) LoadOption {
	return func(l *Load) { l.models, l.services = models, services }
}

// LoadLeaving sets whether the agent is leaving.
func LoadLeaving(v bool) LoadOption { return func(l *Load) { l.leaving = v } }

// VM returns the VM.
func (l Load) VM() string { return l.vm }

// Address returns the address of the agent.
func (l Load) Address() string { return l.address }

// Region returns the region.
func (l Load) Region() string { return l.region }

// Zone returns the availability zone.
func (l Load) Zone() string { return l.zone }

// Boot returns the identifier of the agent's start.
func (l Load) Boot() string { return l.boot }

// Sequence returns the number of the report.
func (l Load) Sequence() uint64 { return l.sequence }

// Leaving reports whether the agent takes no new work.
func (l Load) Leaving() bool { return l.leaving }

// Slots returns how many requests run at once.
func (l Load) Slots() uint32 { return l.slots }

// Online returns how many online requests run.
func (l Load) Online() uint32 { return l.online }

// Batch returns how many batch items run.
func (l Load) Batch() uint32 { return l.batch }

// Queued returns how many online requests wait.
func (l Load) Queued() uint32 { return l.queued }

// Models returns the models that are loaded.
func (l Load) Models() []string { return l.models }

// Services returns the plain services beside the agent.
func (l Load) Services() []string { return l.services }
