package codec

import (
	"encoding/binary"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	zoneAgeUnit     = 20 * time.Millisecond // Resolution of the ages of zones.
	zoneAgeBytes    = 4                     // Bytes per zone: 24 bits of the hash of its name, then 8 bits of age.
	maxZoneAgeUnits = 255                   // Largest age in 8 bits, 5.1 s; older zones are omitted.
)

// encodeDigest rounds all ages up, so that no confirmation appears fresher than it is.
func encodeDigest(d bulrushlug.Digest) *wire.Digest {
	w := &wire.Digest{
		Revision:   d.Revision(),
		Accepted:   d.Accepted(),
		Sequence:   d.Sequence(),
		Reply:      d.Reply(),
		Zone:       d.Zone(),
		Root:       d.PollsStore(),
		AgeMs:      encodeAge(d.ConfirmationAge()),
		MajorityMs: encodeAge(d.MajorityAge()),
	}
	for z, a := range d.ZoneAges() {
		if n := ceilDiv(a, zoneAgeUnit); n <= maxZoneAgeUnits {
			w.Heard = binary.BigEndian.AppendUint32(w.Heard, z<<8|uint32(n))
		}
	}
	return w
}

// ceilDiv returns d in units, rounded up.
func ceilDiv(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }

// encodeAge returns d in milliseconds, rounded up, plus one; zero stands for no age.
func encodeAge(d time.Duration) uint64 {
	if d < 0 {
		return 0
	}
	return uint64(ceilDiv(d, time.Millisecond)) + 1
}

// decodeAge reverses encodeAge and returns -1 for no age.
func decodeAge(n uint64) time.Duration {
	if n == 0 {
		return -1
	}
	return time.Duration(n-1) * time.Millisecond
}

func decodeDigest(w *wire.Digest) bulrushlug.Digest {
	h := map[uint32]time.Duration{}
	for b := w.Heard; len(b) >= zoneAgeBytes; b = b[zoneAgeBytes:] {
		n := binary.BigEndian.Uint32(b)
		h[n>>8] = time.Duration(n&maxZoneAgeUnits) * zoneAgeUnit
	}
	return bulrushlug.NewDigest(w.Sequence, w.Zone, w.Revision,
		bulrushlug.DigestAges(decodeAge(w.AgeMs), decodeAge(w.MajorityMs)),
		bulrushlug.DigestAccepted(w.Accepted),
		bulrushlug.DigestZoneAges(h),
		bulrushlug.DigestPollsStore(w.Root),
		bulrushlug.DigestReply(w.Reply))
}
