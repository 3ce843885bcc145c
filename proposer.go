package bulrushlug

import "context"

// Proposal works out a change from the newest configuration, or says why there is none.
type Proposal func(f *Config) (Change, error)

// Proposer writes changes of the configuration.
type Proposer interface {
	// Propose writes the change that p works out, and returns its revision once it is accepted.
	Propose(c context.Context, p Proposal) (uint64, error)
}

// Announcer tells the other availability zones of a new revision.
type Announcer interface {
	// Announce sends the newest configuration to every zone.
	Announce()
}

// Puller fetches configuration that is too old or too large for messages.
type Puller interface {
	// Pull returns the configuration that the process at address a has, if it is newer than revision n.
	Pull(c context.Context, a string, n uint64) (*Config, error)
}

// StorePoller says whether a process should read from the key-value service itself.
type StorePoller interface {
	// ShouldPollStore reports whether the process should ask the service now.
	ShouldPollStore() bool
}
