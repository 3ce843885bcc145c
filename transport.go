package bulrushlug

import "context"

// Dispatcher carries a request to the agent at an address.
type Dispatcher interface {
	// Dispatch runs r at d; KindUnplaceable and KindLeaving mean that it did not run there.
	Dispatch(c context.Context, d Candidate, r *Request, s Sink) error
}

// Vault keeps chunks of files on the VM at an address.
type Vault interface {
	// Put keeps chunk n of file f; it returns once the chunk is synced to disk.
	Put(c context.Context, address, f string, n uint32, p []byte) error
	// Get returns chunk n of file f.
	Get(c context.Context, address, f string, n uint32) ([]byte, error)
	// Drop removes chunk n of file f.
	Drop(c context.Context, address, f string, n uint32) error
}

// Limiter counts admissions of one organisation over all VMs.
type Limiter interface {
	// Take admits one request of o, or fails with KindRateLimited.
	Take(c context.Context, o string) error
}

// Source gives the current configuration.
type Source interface {
	// Config returns the newest configuration that the process has.
	Config() *Config
	// Fresh reports whether the configuration is confirmed recently enough to serve by it.
	Fresh() bool
}

// Roster gives the VMs of the platform's list.
type Roster interface {
	// Members returns the newest list that the process has.
	Members() []Member
}
