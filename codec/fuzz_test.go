package codec

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
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

// FuzzLots checks that arbitrary lots, updates, queries, pages and records of lots decode without a panic.
func FuzzLots(f *testing.F) {
	u := EncodeLotUpdate(bulrushlug.NewLotUpdate("i", 1, []string{"d"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotEndEntry()}, true))
	r, err := EncodeLotRecord(bulrushlug.NewLotRecord(1, []string{"d"}, "o"))
	if err != nil {
		f.Fatal(err)
	}
	b, err := proto.Marshal(u)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(r)
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeLotRecord(b); err == nil && len(x.Replicas()) == 0 {
			t.Error("a record without replicas")
		}
		w := &wire.LotAppend{}
		if proto.Unmarshal(b, w) == nil {
			if x, err := DecodeLotUpdate(w); err == nil && len(x.Replicas()) == 0 {
				t.Error("an update without replicas")
			}
		}
		l, q, p := &wire.Lot{}, &wire.LotRef{}, &wire.LotPage{}
		if proto.Unmarshal(b, l) == nil {
			DecodeLot(l)
		}
		if proto.Unmarshal(b, q) == nil {
			DecodeLotQuery(q)
		}
		if proto.Unmarshal(b, p) == nil {
			DecodeLotPage(p)
		}
	})
}
