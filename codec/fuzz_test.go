package codec

import (
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// FuzzPacket checks that arbitrary datagrams decode without a panic, and that a decoded packet which encodes again
// also decodes again.
func FuzzPacket(f *testing.F) {
	b, err := EncodePacket(bulrushlug.NewMessage(
		bulrushlug.MessageFrom("vm", "127.0.0.1:1"),
		bulrushlug.MessageAdmissionRequest(bulrushlug.NewAdmissionRequest("o", 3, 7)),
		bulrushlug.MessageDigest(bulrushlug.NewDigest(4, "z", 9, bulrushlug.DigestAges(time.Second, -1),
			bulrushlug.DigestZoneAges(map[uint32]time.Duration{5: time.Second}))),
		bulrushlug.MessageChanges([]bulrushlug.Change{bulrushlug.NewChange("i", "a", bulrushlug.NewRingDelta(2, []string{"x"}, nil)).WithRevision(3)}),
		bulrushlug.MessageLoadReports(bulrushlug.NewLoadReport("vm", 1))))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodePacket(b)
		if err != nil {
			return
		}
		c, err := EncodePacket(m)
		if err != nil {
			return
		}
		if _, err := DecodePacket(c); err != nil {
			t.Errorf("re-encoded packet does not decode: %v", err)
		}
	})
}

// FuzzRecords checks that arbitrary job and file records decode and encode without a panic.
func FuzzRecords(f *testing.F) {
	p := bulrushlug.NewChunkRef("f", 1, []string{"a", "b"}, 2, 3, 4)
	j, err := EncodeJob(bulrushlug.NewJob("i", "o", "f", "/v1/completions",
		bulrushlug.JobItems(2, []bulrushlug.Result{bulrushlug.NewResult(0, 1, 1, p, p)})))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(j)
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeJob(b); err == nil {
			if _, err := EncodeJob(x); err != nil {
				t.Skip()
			}
		}
		if x, err := DecodeFile(b); err == nil {
			if _, err := EncodeFile(x); err != nil {
				t.Skip()
			}
		}
	})
}

// TestAgesNeverLookNewer guards against rounding an age down, which would let a process serve beyond its staleness bound.
func TestAgesNeverLookNewer(t *testing.T) {
	for name, d := range map[string]time.Duration{"none": -1, "zero": 0, "a part of a millisecond": 1, "long": 3*time.Second + 1} {
		b, err := EncodePacket(bulrushlug.NewMessage(bulrushlug.MessageDigest(bulrushlug.NewDigest(1, "z", 1,
			bulrushlug.DigestAges(d, d), bulrushlug.DigestZoneAges(map[uint32]time.Duration{1: max(d, 0)})))))
		if err != nil {
			t.Fatal(err)
		}
		m, err := DecodePacket(b)
		if err != nil {
			t.Fatal(err)
		}
		g := m.Digest()
		if g.ConfirmationAge() < d || g.MajorityAge() < d || g.ZoneAges()[1] < max(d, 0) || (d < 0) != (g.ConfirmationAge() < 0) {
			t.Errorf("%s: age %v decoded as %v, majority %v, zones %v", name, d, g.ConfirmationAge(), g.MajorityAge(), g.ZoneAges())
		}
	}
}
