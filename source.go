package bulrushlug

// ConfigSource gives the current configuration.
type ConfigSource interface {
	// Config returns the newest configuration that the process has.
	Config() *Config
	// Fresh reports whether the configuration is confirmed recently enough to serve by it.
	Fresh() bool
	// Accepted returns the newest revision known to be held by a majority of the zones.
	Accepted() uint64
}

// Roster gives the VMs of the platform's list.
type Roster interface {
	// Members returns the newest list that the process has; it must not be changed.
	Members() []Member
	// Member returns the VM called n.
	Member(n string) (Member, bool)
	// Gone reports whether the VM n no longer exists.
	Gone(n string) bool
}

// HomeLocator tells the home of an organisation.
type HomeLocator interface {
	// Owner returns the VM that is the home of organisation o.
	Owner(o string) string
	// Member returns the VM called n.
	Member(n string) (Member, bool)
}
