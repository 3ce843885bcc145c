package codec

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeLot encodes l with its items.
func EncodeLot(l bulrushlug.Lot) *wire.Lot {
	w := &wire.Lot{
		Id:           l.ID(),
		Organisation: l.Organisation(),
		Route:        l.Route(),
		Host:         l.Host(),
		AgeMs:        ageMillis(l.ReceivedAt()),
		Revision:     l.Revision(),
		RetentionMs:  uint64(max(0, l.Retention().Milliseconds())),
	}
	for _, i := range l.Items() {
		x := &wire.LotItem{Id: i.ID(), Path: i.Path(), Body: i.Body()}
		for _, f := range i.Fields() {
			x.Headers = append(x.Headers, &wire.Header{Name: f.Name(), Value: f.Value()})
		}
		w.Items = append(w.Items, x)
	}
	return w
}

// DecodeLot decodes a lot.
func DecodeLot(w *wire.Lot) bulrushlug.Lot {
	var l []bulrushlug.LotItem
	for _, x := range w.Items {
		var f []bulrushlug.Field
		for _, h := range x.Headers {
			f = append(f, bulrushlug.NewField(h.Name, h.Value))
		}
		l = append(l, bulrushlug.NewLotItem(x.Id, x.Path, f, x.Body))
	}
	return bulrushlug.NewLot(w.Id, w.Organisation, w.Route, w.Host, timeFromAge(w.AgeMs), l).WithRevision(w.Revision).WithRetention(durationFromMillis(w.RetentionMs))
}

// ageMillis returns the time since t in milliseconds; zero if t is zero or in the future. Processes tell each other ages,
// since a time of day is read differently by a process whose clock is wrong.
func ageMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(0, time.Since(t).Milliseconds()))
}

// receiptFromAge returns the time that was n milliseconds ago, or the zero time if n is zero: nothing is known.
func receiptFromAge(n uint64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return timeFromAge(n)
}

// timeFromAge returns the time that was n milliseconds ago, by the steady clock of this process.
func timeFromAge(n uint64) time.Time {
	return time.Now().Add(-durationFromMillis(n))
}

// durationFromMillis returns n milliseconds, or the longest duration that a message can tell.
func durationFromMillis(n uint64) time.Duration {
	return time.Duration(min(n, maxDurationMs)) * time.Millisecond
}

// maxDurationMs is the longest duration in milliseconds that a message can tell.
const maxDurationMs = uint64(math.MaxInt64 / time.Millisecond / 2)

// EncodeLotEntries encodes entries of a lot's log in order.
func EncodeLotEntries(l []bulrushlug.LotEntry) []*wire.LotEntry {
	var w []*wire.LotEntry
	for _, e := range l {
		x := &wire.LotEntry{Ended: e.Ended()}
		if h := e.Lot(); h != nil {
			x.Lot = EncodeLot(*h)
		}
		if r := e.Result(); r != nil {
			x.Result = &wire.LotResult{Item: r.Item(), Completed: r.Completed(), Text: []byte(r.Text())}
		}
		w = append(w, x)
	}
	return w
}

// DecodeLotEntries decodes entries of a lot's log; it fails with KindBadRequest if one is empty.
func DecodeLotEntries(w []*wire.LotEntry) ([]bulrushlug.LotEntry, error) {
	var l []bulrushlug.LotEntry
	for _, x := range w {
		switch {
		case x.Lot != nil:
			l = append(l, bulrushlug.NewLotHeadEntry(DecodeLot(x.Lot)))
		case x.Result != nil:
			l = append(l, bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(x.Result.Item, x.Result.Completed, string(x.Result.Text))))
		case x.Ended:
			l = append(l, bulrushlug.NewLotEndEntry())
		default:
			return nil, bulrushlug.Errorf(bulrushlug.KindBadRequest, "entry of a lot's log holds neither a lot, a result nor an end")
		}
	}
	return l, nil
}

func encodeProgress(p []bulrushlug.LotProgress) (l []*wire.LotProgress) {
	for _, x := range p {
		l = append(l, &wire.LotProgress{Item: x.Item(), Text: x.Text(), First: x.First(), Data: encodeTexts(x.Data()), Replaces: x.Replaces(), Failures: uint32(min(x.Failures(), math.MaxInt32))})
	}
	return l
}

func decodeProgress(w []*wire.LotProgress) (l []bulrushlug.LotProgress) {
	for _, x := range w {
		l = append(l, bulrushlug.NewLotProgress(x.Item, x.Text, x.First, decodeTexts(x.Data)).Replacing(x.Replaces).WithFailures(int(min(x.Failures, math.MaxInt32))))
	}
	return l
}

// encodeTexts encodes strings that may have any bytes.
func encodeTexts(l []string) (w [][]byte) {
	for _, x := range l {
		w = append(w, []byte(x))
	}
	return w
}

func decodeTexts(w [][]byte) (l []string) {
	for _, x := range w {
		l = append(l, string(x))
	}
	return l
}

// EncodeLotUpdate encodes an append that the primary sends to the replicas of a lot.
func EncodeLotUpdate(u bulrushlug.LotUpdate) *wire.LotAppend {
	return &wire.LotAppend{Progress: encodeProgress(u.Progress()), WantsProgress: u.WantsProgress(), Lot: u.Lot(), Epoch: u.Epoch(), Replicas: u.Replicas(), From: uint64(u.Offset()),
		Entries: EncodeLotEntries(u.Entries()), Confirmed: u.Confirmed(), Sender: u.Sender(), AgeMs: ageMillis(u.ReceivedAt())}
}

// DecodeLotUpdate decodes an append to the log of a lot; it fails with KindBadRequest if an entry is empty or
// there are no replicas.
func DecodeLotUpdate(w *wire.LotAppend) (bulrushlug.LotUpdate, error) {
	if len(w.Replicas) == 0 {
		return bulrushlug.LotUpdate{}, bulrushlug.Errorf(bulrushlug.KindBadRequest, "update of lot %s has no replicas", w.Lot)
	}
	l, err := DecodeLotEntries(w.Entries)
	if err != nil {
		return bulrushlug.LotUpdate{}, err
	}
	u := bulrushlug.NewLotUpdate(w.Lot, w.Epoch, w.Replicas, int(w.From), l, w.Confirmed)
	return u.WithProgress(decodeProgress(w.Progress)).WithProgressWanted(w.WantsProgress).WithSender(w.Sender).WithReceivedAt(receiptFromAge(w.AgeMs)), nil
}

// EncodeLotReplicaState encodes the state of a replica.
func EncodeLotReplicaState(s bulrushlug.LotReplicaState) *wire.LotState {
	return &wire.LotState{Ok: s.OK(), Epoch: s.Epoch(), Length: uint64(s.Length()), Progress: encodeProgress(s.Progress()), AgeMs: ageMillis(s.ReceivedAt())}
}

// DecodeLotReplicaState decodes the state of a replica.
func DecodeLotReplicaState(w *wire.LotState) bulrushlug.LotReplicaState {
	return bulrushlug.NewLotReplicaState(w.Ok, w.Epoch, int(w.Length)).WithProgress(decodeProgress(w.Progress)).WithReceivedAt(receiptFromAge(w.AgeMs))
}

// EncodeLotPage encodes a page of results.
func EncodeLotPage(p bulrushlug.LotPage) *wire.LotPage {
	w := &wire.LotPage{Total: uint32(p.Total()), Next: uint32(p.Next())}
	for _, r := range p.Results() {
		w.Results = append(w.Results, &wire.LotListed{Id: r.ID(), Completed: r.Completed(), Text: []byte(r.Text())})
	}
	return w
}

// DecodeLotPage decodes a page of results.
func DecodeLotPage(w *wire.LotPage) bulrushlug.LotPage {
	var l []bulrushlug.LotListedResult
	for _, r := range w.Results {
		l = append(l, bulrushlug.NewLotListedResult(r.Id, r.Completed, string(r.Text)))
	}
	return bulrushlug.NewLotPage(int(w.Total), int(w.Next), l)
}

// EncodeLotQuery encodes q, with its wait in milliseconds.
func EncodeLotQuery(q bulrushlug.LotQuery) *wire.LotRef {
	return &wire.LotRef{Id: q.ID(), Organisation: q.Organisation(), Item: q.Item(), After: uint64(q.After()), WaitMs: uint64(q.Wait().Milliseconds()), Host: q.Host()}
}

// DecodeLotQuery decodes a query for a lot.
func DecodeLotQuery(w *wire.LotRef) bulrushlug.LotQuery {
	return bulrushlug.NewLotQuery(w.Id, w.Organisation).WithItem(w.Item).WithHost(w.Host).
		WithAfter(int(w.After), time.Duration(w.WaitMs)*time.Millisecond)
}

// EncodeLotRecord encodes r as the value of its entry in the key-value service.
func EncodeLotRecord(r bulrushlug.LotRecord) ([]byte, error) {
	b, err := proto.Marshal(&wire.LotRecord{Epoch: r.Epoch(), Replicas: r.Replicas(), Organisation: r.Organisation()})
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, "lot record", err)
	}
	return b, nil
}

// DecodeLotRecord decodes the value of the entry of a lot in the key-value service.
func DecodeLotRecord(b []byte) (bulrushlug.LotRecord, error) {
	w := &wire.LotRecord{}
	if err := proto.Unmarshal(b, w); err != nil {
		return bulrushlug.LotRecord{}, bulrushlug.WrapError(bulrushlug.KindInternal, "lot record", err)
	}
	if len(w.Replicas) == 0 {
		return bulrushlug.LotRecord{}, bulrushlug.Errorf(bulrushlug.KindInternal, "lot record of epoch %d has no replicas", w.Epoch)
	}
	return bulrushlug.NewLotRecord(w.Epoch, w.Replicas, w.Organisation), nil
}
