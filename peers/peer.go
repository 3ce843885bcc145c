package peers

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Peer is the state of another process; values are immutable.
type Peer struct {
	member     bulrushlug.Member
	boot       uint64 // Start of the process in Unix milliseconds.
	diskID     string // Identifier of the disk; empty if there is none.
	manifest   uint64 // Newest manifest version that it reported.
	sequence   uint64 // Sequence number of the last report.
	registered bool   // It has an entry in the key-value service.
	storeLost  bool   // It can't reach the key-value service.
	lastHeard  time.Time
	timeout    time.Duration // Age of the last report at which the process counts as failed.
}

// withTimeout returns a copy of p that counts as failed once its last report is d old.
func (p Peer) withTimeout(d time.Duration) Peer {
	p.timeout = d
	return p
}

// Member returns the name, address and role of the process.
func (p Peer) Member() bulrushlug.Member { return p.member }

// Boot returns the start of the process, in Unix milliseconds by its own clock.
func (p Peer) Boot() uint64 { return p.boot }

// DiskID returns the identifier of its disk; empty if it has none.
func (p Peer) DiskID() string { return p.diskID }

// Manifest returns the newest manifest version that it reported.
func (p Peer) Manifest() uint64 { return p.manifest }

// StoreLost reports whether it can't reach the key-value service.
func (p Peer) StoreLost() bool { return p.storeLost }

// Registered reports whether it has an entry in the key-value service.
func (p Peer) Registered() bool { return p.registered }

// Alive reports whether its last report is recent, as a failure detector with a fixed timeout.
func (p Peer) Alive() bool { return time.Since(p.lastHeard) < p.timeout }

// SilentFor returns the time since its last report.
func (p Peer) SilentFor() time.Duration { return time.Since(p.lastHeard) }
