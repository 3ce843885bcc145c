package bulrushlug

// Member is one VM of the platform's list.
type Member struct {
	name    string // Never used again once its VM is gone.
	address string // host:port of the process for other processes.
	region  string
	zone    string
	role    string // entry or agent.
	leaving bool   // The platform will take the VM away.
	data    bool   // The VM has a data folder.
}

// The roles.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// NewMember returns the member n that listens on a.
func NewMember(n, a, region, zone, role string) Member {
	return Member{name: n, address: a, region: region, zone: zone, role: role}
}

// WithLeaving returns a copy that is leaving if v is true.
func (m Member) WithLeaving(v bool) Member {
	m.leaving = v
	return m
}

// WithData returns a copy that has a data folder if v is true.
func (m Member) WithData(v bool) Member {
	m.data = v
	return m
}

// Name returns the VM.
func (m Member) Name() string { return m.name }

// Address returns the address for other processes.
func (m Member) Address() string { return m.address }

// Region returns the region.
func (m Member) Region() string { return m.region }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Role returns the role.
func (m Member) Role() string { return m.role }

// Leaving reports whether the platform will take the VM away.
func (m Member) Leaving() bool { return m.leaving }

// Data reports whether the VM has a data folder.
func (m Member) Data() bool { return m.data }
