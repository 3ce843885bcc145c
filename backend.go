package bulrushlug

// Backend is a backend server that registered itself; values are immutable.
type Backend struct {
	id       string // Identifies the server; it may start again under the same one.
	born     uint64 // Unix milliseconds of the start of the server.
	service  string // Service whose requests it runs.
	address  string // host:port.
	zone     string
	slots    uint32 // Requests that run at once, at least one.
	draining bool   // It takes no new requests.
	revision uint64 // Revision of the entry in the key-value service.
}

// BackendOption sets some fields of a backend server.
type BackendOption func(b *Backend)

// NewBackend returns the backend server i of service s that listens on a.
func NewBackend(i, s, a string, o ...BackendOption) Backend {
	b := Backend{id: i, service: s, address: a, slots: 1}
	for _, f := range o {
		f(&b)
	}
	return b
}

// BackendZoneSlots sets the zone and the number of requests that run at once.
func BackendZoneSlots(zone string, slots uint32) BackendOption {
	return func(b *Backend) { b.zone, b.slots = zone, max(1, slots) }
}

// BackendStart sets the start, in Unix milliseconds, and the revision of the entry.
func BackendStart(born, revision uint64) BackendOption {
	return func(b *Backend) { b.born, b.revision = born, revision }
}

// BackendDraining says whether the server takes no new requests.
func BackendDraining(v bool) BackendOption { return func(b *Backend) { b.draining = v } }

// ID returns the identifier.
func (b Backend) ID() string { return b.id }

// StartTime returns the start of the server in Unix milliseconds.
func (b Backend) StartTime() uint64 { return b.born }

// Service returns the service.
func (b Backend) Service() string { return b.service }

// Address returns host:port.
func (b Backend) Address() string { return b.address }

// Zone returns the availability zone.
func (b Backend) Zone() string { return b.zone }

// Slots returns how many requests run at once.
func (b Backend) Slots() uint32 { return b.slots }

// Draining reports whether the server takes no new requests.
func (b Backend) Draining() bool { return b.draining }

// Revision returns the revision of the entry in the key-value service.
func (b Backend) Revision() uint64 { return b.revision }

// SameInstance reports whether b and x are one start of one server at one place.
func (b Backend) SameInstance(x Backend) bool {
	return b.id == x.id && b.born == x.born && b.address == x.address && b.service == x.service
}
