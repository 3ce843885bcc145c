package peers

import (
	"time"

	"bulrushlug.dev/bulrushlug"
)

// Peer is one other process; values are immutable.
type Peer struct {
	member   bulrushlug.Member
	boot     uint64
	disk     string // Identity of the disk; empty where there is none.
	manifest uint64 // Newest version that it reported.
	sequence uint64 // Number of the last report.
	listed   bool   // It has an entry.
	lost     bool   // It can't reach the key-value service.
	heard    time.Time
}

// Member returns the process.
func (p Peer) Member() bulrushlug.Member { return p.member }

// Disk returns the identity of its disk.
func (p Peer) Disk() string { return p.disk }

// Manifest returns the newest version that it reported.
func (p Peer) Manifest() uint64 { return p.manifest }

// StoreLost reports whether it can't reach the key-value service.
func (p Peer) StoreLost() bool { return p.lost }

// Registered reports whether it has an entry.
func (p Peer) Registered() bool { return p.listed }

// Alive reports whether it was heard lately.
func (p Peer) Alive() bool { return time.Since(p.heard) < aliveTime }

// SilentFor returns for how long it was not heard.
func (p Peer) SilentFor() time.Duration { return time.Since(p.heard) }
