package bulrushlug

import "time"

// Digest is an anti-entropy digest: it tells peers the configuration revision of a process and how recently that
// revision was confirmed.
type Digest struct {
	revision        uint64                   // Configuration revision of the sender.
	accepted        uint64                   // Newest revision that a majority of the zones is known to hold.
	sequence        uint64                   // Chosen by the requester and echoed in the reply.
	reply           bool                     // The digest is the reply to another one.
	zone            string                   // Availability zone of the sender.
	pollsStore      bool                     // The sender polls the key-value service and wants the receiver's zone ages in the reply.
	confirmationAge time.Duration            // Time since the key-value service last confirmed the revision; negative if it never did.
	majorityAge     time.Duration            // Age within which a majority of the zones was heard from; negative if there is none.
	zoneAges        map[uint32]time.Duration // Time since each zone was last heard from, by ZoneHash.
}

// DigestOption configures a new Digest.
type DigestOption func(d *Digest)

// NewDigest returns the digest with sequence number n of a process in zone z that has revision r.
func NewDigest(n uint64, z string, r uint64, o ...DigestOption) Digest {
	d := Digest{sequence: n, zone: z, revision: r, confirmationAge: -1, majorityAge: -1}
	for _, f := range o {
		f(&d)
	}
	return d
}

// DigestAges sets the values of ConfirmationAge and MajorityAge; a negative age means that there is none.
func DigestAges(confirmation, majority time.Duration) DigestOption {
	return func(d *Digest) { d.confirmationAge, d.majorityAge = confirmation, majority }
}

// DigestAccepted sets the newest revision that a majority of the zones is known to hold.
func DigestAccepted(n uint64) DigestOption { return func(d *Digest) { d.accepted = n } }

// DigestZoneAges sets the time since each zone was last heard from, by ZoneHash.
func DigestZoneAges(m map[uint32]time.Duration) DigestOption {
	return func(d *Digest) { d.zoneAges = m }
}

// DigestPollsStore sets whether the sender polls the key-value service.
func DigestPollsStore(v bool) DigestOption { return func(d *Digest) { d.pollsStore = v } }

// DigestReply sets whether the digest is the reply to another one.
func DigestReply(v bool) DigestOption { return func(d *Digest) { d.reply = v } }

// zoneBits is the width of a zone hash in bits.
const zoneBits = 24

// ZoneHash returns the FNV-1a hash of zone name z, folded to 24 bits.
func ZoneHash(z string) uint32 {
	h := uint32(2166136261)
	for i := range len(z) {
		h = (h ^ uint32(z[i])) * 16777619
	}
	return (h>>zoneBits ^ h) & (1<<zoneBits - 1)
}

// Revision returns the configuration revision of the sender.
func (d Digest) Revision() uint64 { return d.revision }

// Accepted returns the newest revision that a majority of the zones is known to hold.
func (d Digest) Accepted() uint64 { return d.accepted }

// Sequence returns the number that the requester chose.
func (d Digest) Sequence() uint64 { return d.sequence }

// Reply reports whether the digest is the reply to another one.
func (d Digest) Reply() bool { return d.reply }

// Zone returns the availability zone of the sender.
func (d Digest) Zone() string { return d.zone }

// PollsStore reports whether the sender polls the key-value service.
func (d Digest) PollsStore() bool { return d.pollsStore }

// ConfirmationAge returns the time since the key-value service last confirmed the revision; negative if it never did.
func (d Digest) ConfirmationAge() time.Duration { return d.confirmationAge }

// MajorityAge returns the age within which a majority of the zones was heard from; negative if there is none.
func (d Digest) MajorityAge() time.Duration { return d.majorityAge }

// ZoneAges returns the time since each zone was last heard from, by ZoneHash.
func (d Digest) ZoneAges() map[uint32]time.Duration { return d.zoneAges }
