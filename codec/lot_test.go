package codec

import (
	"math"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// TestReplicas decodes what names the replicas of a lot: whoever reads the first one relies on there being one.
func TestReplicas(t *testing.T) {
	for name, x := range map[string]struct {
		replicas []string
		ok       bool
	}{
		"none": {},
		"one":  {replicas: []string{"a"}, ok: true},
		"two":  {replicas: []string{"a", "b"}, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := EncodeLotRecord(bulrushlug.NewLotRecord(1, x.replicas, "o"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeLotRecord(b); (err == nil) != x.ok {
				t.Errorf("record: error %v", err)
			}
			if _, err := DecodeLotUpdate(&wire.LotAppend{Lot: "l", Epoch: 1, Replicas: x.replicas}); (err == nil) != x.ok {
				t.Errorf("update: error %v", err)
			}
		})
	}
}

// TestOrigin encodes and decodes under which configuration a lot was accepted and who sent an update.
func TestOrigin(t *testing.T) {
	for name, x := range map[string]struct {
		revision  uint64
		retention time.Duration
		sender    string
	}{
		"unknown": {},
		"known":   {revision: 1<<63 + 1, retention: time.Minute + time.Millisecond, sender: "disk"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := bulrushlug.NewLot("l", "o", "r", "h", time.Now().Add(-5*time.Millisecond), nil).WithRevision(x.revision).WithRetention(x.retention)
				u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, true).WithSender(x.sender)
				got, err := DecodeLotUpdate(EncodeLotUpdate(u))
				if err != nil || !reflect.DeepEqual(got, u) {
					t.Errorf("got %+v, %v", got, err)
				}
			})
		})
	}
}

// TestAgeOfLot guards against a lot that is older for one process than for another whose clock is behind: no message about a
// lot has a time of day in it. A clock that is ahead by some time is one that moved on by it between encoding and decoding.
func TestAgeOfLot(t *testing.T) {
	for name, x := range map[string]struct{ age, ahead, want time.Duration }{
		"just received":             {},
		"equal clocks":              {age: time.Minute, want: time.Minute},
		"two seconds ahead":         {age: time.Minute, ahead: 2 * time.Second, want: time.Minute},
		"an hour ahead":             {age: time.Minute, ahead: time.Hour, want: time.Minute},
		"a part of a millisecond":   {age: time.Second + time.Microsecond, want: time.Second},
		"received in the future":    {age: -time.Minute},
		"much longer than any lot":  {age: 100 * 365 * 24 * time.Hour, want: 100 * 365 * 24 * time.Hour},
		"less than it can be known": {age: time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := bulrushlug.NewLot("l", "o", "r", "h", time.Now().Add(-x.age), nil)
				u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, true).WithReceivedAt(l.ReceivedAt())
				s := bulrushlug.NewLotReplicaState(true, 1, 1).WithReceivedAt(l.ReceivedAt())
				a, b, c := &wire.Lot{}, &wire.LotAppend{}, &wire.LotState{}
				transfer(t, EncodeLot(l), a)
				transfer(t, EncodeLotUpdate(u), b)
				transfer(t, EncodeLotReplicaState(s), c)
				time.Sleep(x.ahead)
				got, err := DecodeLotUpdate(b)
				if err != nil {
					t.Fatal(err)
				}
				for what, r := range map[string]time.Time{"the lot": DecodeLot(a).ReceivedAt(), "an update's head": got.Entries()[0].Lot().ReceivedAt(),
					"an update": got.ReceivedAt(), "a state": DecodeLotReplicaState(c).ReceivedAt()} {
					if r.IsZero() && x.want == 0 {
						continue
					}
					if d := time.Since(r); d != x.want {
						t.Errorf("%s is %v old", what, d)
					}
				}
			})
		})
	}
}

// TestAgeOutOfRange decodes ages that no process sends.
func TestAgeOutOfRange(t *testing.T) {
	for name, n := range map[string]uint64{"the largest": math.MaxUint64, "negative as a duration": 1 << 63, "too large for a duration": 1 << 50} {
		if r := DecodeLot(&wire.Lot{AgeMs: n}).ReceivedAt(); r.After(time.Now()) {
			t.Errorf("%s: received at %v", name, r)
		}
	}
}

// TestBytesFromOutside puts what a caller or a server may send into each message that carries it: any bytes are encoded.
func TestBytesFromOutside(t *testing.T) {
	for name, s := range map[string]string{"empty": "", "text": "å", "not UTF-8": "a\xffb", "half a character": "\xe2\x82", "zero": "\x00"} {
		t.Run(name, func(t *testing.T) { transferBytes(t, s) })
	}
}

// FuzzBytesFromOutside does so with arbitrary bytes.
func FuzzBytesFromOutside(f *testing.F) {
	f.Add("a\xffb")
	f.Fuzz(func(t *testing.T, s string) { transferBytes(t, s) })
}

// transferBytes transfers each message that carries bytes from outside, with the bytes s.
func transferBytes(t *testing.T, s string) {
	u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(1, true, s))}, true).
		WithProgress([]bulrushlug.LotProgress{bulrushlug.NewLotProgress(0, 1, 1, []string{s, "x"})})
	a := &wire.LotAppend{}
	transfer(t, EncodeLotUpdate(u), a)
	if got, err := DecodeLotUpdate(a); err != nil || !reflect.DeepEqual(got, u) {
		t.Errorf("update %+v, %v", got, err)
	}
	p := bulrushlug.NewLotPage(1, 1, []bulrushlug.LotListedResult{bulrushlug.NewLotListedResult("i", true, s)})
	w := &wire.LotPage{}
	transfer(t, EncodeLotPage(p), w)
	if got := DecodeLotPage(w); !reflect.DeepEqual(got, p) {
		t.Errorf("page %+v", got)
	}
	c := &wire.Call{}
	transfer(t, EncodeCall(bulrushlug.NewRequest(s, bulrushlug.WithModel(s), bulrushlug.WithCall("POST", s, s, []byte(s)))), c)
	if r := DecodeCall(c); r.ID() != s || r.Model() != s || r.Path() != s || r.ContentType() != s {
		t.Errorf("call %+v", r)
	}
	transfer(t, &wire.Piece{ContentType: []byte(s)}, &wire.Piece{})
	transfer(t, &wire.Known{Items: []*wire.KnownItem{{Key: []byte(s)}}}, &wire.Known{})
	transfer(t, EncodeEvent(bulrushlug.NewEvent("e", bulrushlug.ForIDs(s, s, s), bulrushlug.WithDetail(s))), &wire.Event{})
	e := &wire.Problem{}
	transfer(t, EncodeError(bulrushlug.Errorf(bulrushlug.KindBroken, "server said %s", s)), e)
	if got := DecodeError(e); bulrushlug.KindOf(got) != bulrushlug.KindBroken {
		t.Errorf("error %v", got)
	}
}

// transfer encodes a and decodes it into b.
func transfer(t *testing.T, a, b proto.Message) {
	t.Helper()
	x, err := proto.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(x, b); err != nil {
		t.Fatal(err)
	}
}

// TestProgress encodes and decodes what is known of the running items of a lot.
func TestProgress(t *testing.T) {
	for name, p := range map[string][]bulrushlug.LotProgress{
		"none":      nil,
		"one text":  {bulrushlug.NewLotProgress(3, 7, 5, []string{"a", "b"})},
		"a dropped": {bulrushlug.NewLotProgress(3, 7, 1, nil).Replacing(1 << 63)},
		"two items": {bulrushlug.NewLotProgress(0, 7, 1, []string{"a"}), bulrushlug.NewLotProgress(1, 1<<63, 9, []string{""})},
	} {
		t.Run(name, func(t *testing.T) {
			u := bulrushlug.NewLotUpdate("l", 1, []string{"a"}, 0, nil, true).WithProgress(p)
			got, err := DecodeLotUpdate(EncodeLotUpdate(u))
			if err != nil || !reflect.DeepEqual(got.Progress(), p) || got.WantsProgress() {
				t.Errorf("progress %v, %v", got.Progress(), err)
			}
			if got, err := DecodeLotUpdate(EncodeLotUpdate(u.WithProgressWanted(true))); err != nil || !got.WantsProgress() {
				t.Errorf("no progress is wanted: %v", err)
			}
			s := DecodeLotReplicaState(EncodeLotReplicaState(bulrushlug.NewLotReplicaState(true, 1, 2).WithProgress(p)))
			if !reflect.DeepEqual(s.Progress(), p) {
				t.Errorf("progress %v of a replica", s.Progress())
			}
		})
	}
}
