package bulrushlug

// Member is the process on one VM of the platform's VM list.
type Member struct {
	name          string // Name of the VM; never reused after the VM is gone.
	address       string // host:port on which the process listens for its peers.
	region        string
	zone          string
	role          string // RoleEntry, RoleAgent or setup.RoleData.
	leaving       bool   // The platform is about to remove the VM.
	hasDataFolder bool   // The VM has a data directory.
}

// The roles of a process that serves callers and of an agent.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// NewMember returns the member on VM n that listens on a (host:port).
func NewMember(n, a, region, zone, role string) Member {
	return Member{name: n, address: a, region: region, zone: zone, role: role}
}

// WithLeaving returns a copy that is leaving if v is true.
func (m Member) WithLeaving(v bool) Member {
	m.leaving = v
	return m
}

// WithDataFolder returns a copy that has a data directory if v is true.
func (m Member) WithDataFolder(v bool) Member {
	m.hasDataFolder = v
	return m
}

// Name returns the name of the VM.
func (m Member) Name() string { return m.name }

// Address returns host:port on which the process listens for its peers.
func (m Member) Address() string { return m.address }

// Region returns the region.
func (m Member) Region() string { return m.region }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Role returns the role, such as RoleEntry.
func (m Member) Role() string { return m.role }

// Leaving reports whether the platform is about to remove the VM.
func (m Member) Leaving() bool { return m.leaving }

// HasDataFolder reports whether the VM has a data directory.
func (m Member) HasDataFolder() bool { return m.hasDataFolder }
