package bulrushlug

import "context"

// Proposal computes a change from the newest configuration, or returns an error if there is nothing to change.
type Proposal func(f *Config) (Change, error)

// Proposer commits changes to the configuration.
type Proposer interface {
	// Propose commits the change that p computes and returns its revision once a majority of the zones holds it.
	Propose(c context.Context, p Proposal) (uint64, error)
}

// Announcer disseminates new configuration revisions to the other availability zones.
type Announcer interface {
	// Announce sends the newest revision to every zone.
	Announce()
}

// Puller fetches the configuration as a whole when the missing changes are too old or too large for datagrams.
type Puller interface {
	// Pull returns the configuration of the process at address a if it is newer than revision n.
	Pull(c context.Context, a string, n uint64) (*Config, error)
}

// StorePoller decides whether this process reads the key-value service itself.
type StorePoller interface {
	// ShouldPollStore reports whether the process should read the service now.
	ShouldPollStore() bool
}
