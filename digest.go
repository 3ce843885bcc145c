package bulrushlug

import "time"

// Digest says how new a process's configuration is.
type Digest struct {
	revision uint64                   // Revision that the sender has.
	accepted uint64                   // Newest revision known to be held by a majority of the zones.
	sequence uint64                   // Set by the asker and echoed in the reply.
	reply    bool                     // The digest answers another one.
	zone     string                   // Availability zone of the sender.
	root     bool                     // The sender asks the key-value service, and wants to know the zones heard.
	age      time.Duration            // Age of the newest confirmation by the service; negative if there is none.
	majority time.Duration            // Age at which a majority of the zones was heard; negative if none was.
	heard    map[uint32]time.Duration // Ages of the zones heard, by 24 bits of a hash of their names.
}

// DigestOption sets some fields of a digest.
type DigestOption func(d *Digest)

// NewDigest returns digest n of a process in zone z that has revision r.
func NewDigest(n uint64, z string, r uint64, o ...DigestOption) Digest {
	d := Digest{sequence: n, zone: z, revision: r, age: -1, majority: -1}
	for _, f := range o {
		f(&d)
	}
	return d
}

// DigestAges sets the ages of the newest confirmation and of the majority heard; negative ones mean that there is none.
func DigestAges(confirmed, majority time.Duration) DigestOption {
	return func(d *Digest) { d.age, d.majority = confirmed, majority }
}

// DigestAccepted says that a majority of the zones holds revision n.
func DigestAccepted(n uint64) DigestOption { return func(d *Digest) { d.accepted = n } }

// DigestHeard sets the ages of the zones heard, by ZoneHash.
func DigestHeard(m map[uint32]time.Duration) DigestOption { return func(d *Digest) { d.heard = m } }

// DigestPollsStore says whether the sender asks the key-value service.
func DigestPollsStore(v bool) DigestOption { return func(d *Digest) { d.root = v } }

// DigestReply says whether the digest answers another one.
func DigestReply(v bool) DigestOption { return func(d *Digest) { d.reply = v } }

// zoneBits is the width of the hash of a zone's name.
const zoneBits = 24

// ZoneHash returns the FNV-1a hash of zone z, cut to 24 bits.
func ZoneHash(z string) uint32 {
	h := uint32(2166136261)
	for i := range len(z) {
		h = (h ^ uint32(z[i])) * 16777619
	}
	return (h>>zoneBits ^ h) & (1<<zoneBits - 1)
}

// Revision returns the revision that the sender has.
func (d Digest) Revision() uint64 { return d.revision }

// Accepted returns the newest revision known to be held by a majority of the zones.
func (d Digest) Accepted() uint64 { return d.accepted }

// Sequence returns the number that the asker set.
func (d Digest) Sequence() uint64 { return d.sequence }

// Reply reports whether the digest answers another one.
func (d Digest) Reply() bool { return d.reply }

// Zone returns the availability zone of the sender.
func (d Digest) Zone() string { return d.zone }

// PollsStore reports whether the sender asks the key-value service.
func (d Digest) PollsStore() bool { return d.root }

// Age returns the age of the newest confirmation, negative if there is none.
func (d Digest) Age() time.Duration { return d.age }

// Majority returns the age at which a majority of the zones was heard, negative if none was.
func (d Digest) Majority() time.Duration { return d.majority }

// Heard returns the ages of the zones heard, by ZoneHash.
func (d Digest) Heard() map[uint32]time.Duration { return d.heard }
