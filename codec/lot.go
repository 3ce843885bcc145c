package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeLot returns l as a message.
func EncodeLot(l bulrushlug.Lot) *wire.Lot {
	w := &wire.Lot{
		Id:           l.ID(),
		Organisation: l.Organisation(),
		Route:        l.Route(),
		Host:         l.Host(),
		SentMs:       uint64(l.ReceivedAt().UnixMilli()),
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

// DecodeLot returns the lot in w.
func DecodeLot(w *wire.Lot) bulrushlug.Lot {
	var l []bulrushlug.LotItem
	for _, x := range w.Items {
		var f []bulrushlug.Field
		for _, h := range x.Headers {
			f = append(f, bulrushlug.NewField(h.Name, h.Value))
		}
		l = append(l, bulrushlug.NewLotItem(x.Id, x.Path, f, x.Body))
	}
	return bulrushlug.NewLot(w.Id, w.Organisation, w.Route, w.Host, time.UnixMilli(int64(w.SentMs)), l)
}

// EncodeLotEntries returns l as messages.
func EncodeLotEntries(l []bulrushlug.LotEntry) []*wire.LotEntry {
	var w []*wire.LotEntry
	for _, e := range l {
		x := &wire.LotEntry{Ended: e.Ended()}
		if h := e.Lot(); h != nil {
			x.Lot = EncodeLot(*h)
		}
		if r := e.Result(); r != nil {
			x.Result = &wire.LotResult{Item: r.Item(), Completed: r.Completed(), Text: r.Text()}
		}
		w = append(w, x)
	}
	return w
}

// DecodeLotEntries returns the entries in w.
func DecodeLotEntries(w []*wire.LotEntry) ([]bulrushlug.LotEntry, error) {
	var l []bulrushlug.LotEntry
	for _, x := range w {
		switch {
		case x.Lot != nil:
			l = append(l, bulrushlug.NewLotHeadEntry(DecodeLot(x.Lot)))
		case x.Result != nil:
			l = append(l, bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(x.Result.Item, x.Result.Completed, x.Result.Text)))
		case x.Ended:
			l = append(l, bulrushlug.NewLotEndEntry())
		default:
			return nil, bulrushlug.Errorf(bulrushlug.KindBadRequest, "an entry of a lot's log has no part")
		}
	}
	return l, nil
}

// EncodeLotUpdate returns u as a message.
func EncodeLotUpdate(u bulrushlug.LotUpdate) *wire.LotAppend {
	var l []*wire.LotProgress
	for _, p := range u.Progress() {
		l = append(l, &wire.LotProgress{Item: p.Item(), First: p.First(), Data: p.Data()})
	}
	return &wire.LotAppend{Progress: l, Lot: u.Lot(), Epoch: u.Epoch(), Replicas: u.Replicas(), From: uint64(u.Offset()),
		Entries: EncodeLotEntries(u.Entries()), Confirmed: u.Confirmed()}
}

// DecodeLotUpdate returns the step in w.
func DecodeLotUpdate(w *wire.LotAppend) (bulrushlug.LotUpdate, error) {
	l, err := DecodeLotEntries(w.Entries)
	if err != nil {
		return bulrushlug.LotUpdate{}, err
	}
	var p []bulrushlug.LotProgress
	for _, x := range w.Progress {
		p = append(p, bulrushlug.NewLotProgress(x.Item, x.First, x.Data))
	}
	return bulrushlug.NewLotUpdate(w.Lot, w.Epoch, w.Replicas, int(w.From), l, w.Confirmed).WithProgress(p), nil
}

// EncodeLotState returns s as a message.
func EncodeLotState(s bulrushlug.LotReplicaState) *wire.LotState {
	return &wire.LotState{Ok: s.OK(), Epoch: s.Epoch(), Length: uint64(s.Length())}
}

// DecodeLotState returns the state in w.
func DecodeLotState(w *wire.LotState) bulrushlug.LotReplicaState {
	return bulrushlug.NewLotReplicaState(w.Ok, w.Epoch, int(w.Length))
}

// EncodeLotPage returns p as a message.
func EncodeLotPage(p bulrushlug.LotPage) *wire.LotPage {
	w := &wire.LotPage{Total: uint32(p.Total()), Next: uint32(p.Next())}
	for _, r := range p.Results() {
		w.Results = append(w.Results, &wire.LotListed{Id: r.ID(), Completed: r.Completed(), Text: r.Text()})
	}
	return w
}

// DecodeLotPage returns the page in w.
func DecodeLotPage(w *wire.LotPage) bulrushlug.LotPage {
	var l []bulrushlug.LotListedResult
	for _, r := range w.Results {
		l = append(l, bulrushlug.NewLotListedResult(r.Id, r.Completed, r.Text))
	}
	return bulrushlug.NewLotPage(int(w.Total), int(w.Next), l)
}

// EncodeLotQuery returns q as a message.
func EncodeLotQuery(q bulrushlug.LotQuery) *wire.LotRef {
	return &wire.LotRef{Id: q.ID(), Organisation: q.Organisation(), Item: q.Item(), After: uint64(q.After()), WaitMs: uint64(q.Wait().Milliseconds())}
}

// DecodeLotQuery returns the query in w.
func DecodeLotQuery(w *wire.LotRef) bulrushlug.LotQuery {
	return bulrushlug.NewLotQuery(w.Id, w.Organisation).WithItem(w.Item).
		WithAfter(int(w.After), time.Duration(w.WaitMs)*time.Millisecond)
}

// EncodeLotRecord returns r as the value of an entry.
func EncodeLotRecord(r bulrushlug.LotRecord) ([]byte, error) {
	b, err := proto.Marshal(&wire.LotRecord{Epoch: r.Epoch(), Replicas: r.Replicas(), Organisation: r.Organisation(), ExpiresMs: uint64(r.Expires().UnixMilli())})
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, "record of a lot", err)
	}
	return b, nil
}

// DecodeLotRecord returns the record in b.
func DecodeLotRecord(b []byte) (bulrushlug.LotRecord, error) {
	w := &wire.LotRecord{}
	if err := proto.Unmarshal(b, w); err != nil {
		return bulrushlug.LotRecord{}, bulrushlug.WrapError(bulrushlug.KindInternal, "record of a lot", err)
	}
	return bulrushlug.NewLotRecord(w.Epoch, w.Replicas, w.Organisation, time.UnixMilli(int64(w.ExpiresMs))), nil
}
