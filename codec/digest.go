package codec

import (
	"encoding/binary"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	heardUnit  = 20 * time.Millisecond
	heardBytes = 4   // Bytes for each zone.
	heardMax   = 255 // Units; older zones are left out.
)

// encodeDigest rounds ages up, so that nothing looks newer than it is.
func encodeDigest(d bulrushlug.Digest) *wire.Digest {
	w := &wire.Digest{
		Revision:   d.Revision(),
		Accepted:   d.Accepted(),
		Sequence:   d.Sequence(),
		Reply:      d.Reply(),
		Zone:       d.Zone(),
		Root:       d.PollsStore(),
		AgeMs:      encodeAge(d.Age()),
		MajorityMs: encodeAge(d.Majority()),
	}
	for z, a := range d.Heard() {
		if n := ceil(a, heardUnit); n <= heardMax {
			w.Heard = binary.BigEndian.AppendUint32(w.Heard, z<<8|uint32(n))
		}
	}
	return w
}

func ceil(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }

func encodeAge(d time.Duration) uint64 {
	if d < 0 {
		return 0
	}
	return uint64(ceil(d, time.Millisecond)) + 1
}

func decodeAge(n uint64) time.Duration {
	if n == 0 {
		return -1
	}
	return time.Duration(n-1) * time.Millisecond
}

func decodeDigest(w *wire.Digest) bulrushlug.Digest {
	h := map[uint32]time.Duration{}
	for b := w.Heard; len(b) >= heardBytes; b = b[heardBytes:] {
		n := binary.BigEndian.Uint32(b)
		h[n>>8] = time.Duration(n&heardMax) * heardUnit
	}
	return bulrushlug.NewDigest(w.Sequence, w.Zone, w.Revision,
		bulrushlug.DigestAges(decodeAge(w.AgeMs), decodeAge(w.MajorityMs)),
		bulrushlug.DigestAccepted(w.Accepted),
		bulrushlug.DigestHeard(h),
		bulrushlug.DigestPollsStore(w.Root),
		bulrushlug.DigestReply(w.Reply))
}
