package bulrushlug

import "time"

// Backend is a backend server's registration in the key-value service; values are immutable.
type Backend struct {
	id        string // Stays the same across restarts of the server.
	startTime uint64 // Start of the server in Unix milliseconds; tells restarts apart.
	service   string // Service that the server provides.
	address   string // host:port.
	zone      string
	slots     uint32        // Maximum number of concurrent requests, at least one.
	draining  bool          // The server accepts no new requests.
	revision  uint64        // Revision of the registration in the key-value service.
	coldTime  time.Duration // Time until the server is warm, as of the registration; at least zero.
}

// BackendOption configures a new Backend.
type BackendOption func(b *Backend)

// NewBackend returns the backend server i of service s that listens on a (host:port).
func NewBackend(i, s, a string, o ...BackendOption) Backend {
	b := Backend{id: i, service: s, address: a, slots: 1}
	for _, f := range o {
		f(&b)
	}
	return b
}

// BackendZoneSlots sets the zone and the maximum number of concurrent requests.
func BackendZoneSlots(zone string, slots uint32) BackendOption {
	return func(b *Backend) { b.zone, b.slots = zone, max(1, slots) }
}

// BackendStart sets the start time in Unix milliseconds and the revision of the registration.
func BackendStart(startTime, revision uint64) BackendOption {
	return func(b *Backend) { b.startTime, b.revision = startTime, revision }
}

// BackendDraining sets whether the server accepts no new requests.
func BackendDraining(v bool) BackendOption { return func(b *Backend) { b.draining = v } }

// BackendColdTime sets the time until the server is warm, as of its registration.
func BackendColdTime(d time.Duration) BackendOption {
	return func(b *Backend) { b.coldTime = max(0, d) }
}

// ID returns the identifier.
func (b Backend) ID() string { return b.id }

// StartTime returns the start of the server in Unix milliseconds.
func (b Backend) StartTime() uint64 { return b.startTime }

// Service returns the service that the server provides.
func (b Backend) Service() string { return b.service }

// Address returns host:port.
func (b Backend) Address() string { return b.address }

// Zone returns the availability zone.
func (b Backend) Zone() string { return b.zone }

// Slots returns the maximum number of concurrent requests.
func (b Backend) Slots() uint32 { return b.slots }

// Draining reports whether the server accepts no new requests.
func (b Backend) Draining() bool { return b.draining }

// Revision returns the revision of the registration in the key-value service.
func (b Backend) Revision() uint64 { return b.revision }

// ColdTime returns the time until the server is warm, as of its registration.
func (b Backend) ColdTime() time.Duration { return b.coldTime }

// SameInstance reports whether b and x are the same run of the same server at the same address.
func (b Backend) SameInstance(x Backend) bool {
	return b.id == x.id && b.startTime == x.startTime && b.address == x.address && b.service == x.service
}
