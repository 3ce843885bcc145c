package bulrushlug

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Config returns the newest configuration that the process has.
	Config() *Config
	// Fresh reports whether the configuration is within its staleness bound, so that the process may serve by it.
	Fresh() bool
	// Accepted returns the newest revision that a majority of the zones is known to hold.
	Accepted() uint64
}

// Roster provides the VMs of the platform's VM list.
type Roster interface {
	// Members returns the newest list that the process has, which the caller must not modify.
	Members() []Member
	// Member returns the VM called n.
	Member(n string) (Member, bool)
	// Gone reports whether the VM called n no longer exists.
	Gone(n string) bool
}

// HomeLocator locates the home of an organisation: the VM that owns its token bucket according to the ring.
type HomeLocator interface {
	// Owner returns the name of the VM that is the home of organisation o.
	Owner(o string) string
	// Member returns the VM called n.
	Member(n string) (Member, bool)
}
