package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodePacket encodes m as the payload of one datagram, before encryption.
func EncodePacket(m bulrushlug.Message) ([]byte, error) {
	w := &wire.Packet{From: m.From(), Address: m.Address(), Changes: EncodeChanges(m.Changes())}
	for _, l := range m.LoadReports() {
		w.Beats = append(w.Beats, EncodeLoad(l))
	}
	if d := m.Digest(); d != nil {
		w.Digest = encodeDigest(*d)
	}
	if a := m.AdmissionRequest(); a != nil {
		w.Ask = &wire.Ask{Organisation: a.Organisation(), Count: a.Count(), Sequence: a.Sequence()}
	}
	if g := m.Grant(); g != nil {
		w.Grant = encodeGrant(*g)
	}
	if r := m.Release(); r != nil {
		w.Release = &wire.Release{Organisation: r.Organisation(), Epoch: r.Epoch()}
	}
	if r := m.Released(); r != nil {
		w.Released = &wire.Released{Organisation: r.Organisation(), Epoch: r.Epoch(), Balance: r.Balance()}
	}
	if r := m.Report(); r != nil {
		w.Report = EncodeReport(*r)
	}
	return proto.Marshal(w)
}

// DecodePacket decodes the payload of one datagram; it fails with KindBadRequest if p is malformed.
func DecodePacket(p []byte) (bulrushlug.Message, error) {
	var w wire.Packet
	if err := proto.Unmarshal(p, &w); err != nil {
		return bulrushlug.Message{}, bulrushlug.WrapError(bulrushlug.KindBadRequest, "packet", err)
	}
	l, err := DecodeChanges(w.Changes)
	if err != nil {
		return bulrushlug.Message{}, err
	}
	o := []bulrushlug.MessagePart{bulrushlug.MessageFrom(w.From, w.Address), bulrushlug.MessageChanges(l)}
	if len(w.Beats) > 0 {
		o = append(o, bulrushlug.MessageLoadReports(decodeLoads(w.Beats)...))
	}
	if w.Digest != nil {
		o = append(o, bulrushlug.MessageDigest(decodeDigest(w.Digest)))
	}
	if w.Report != nil {
		o = append(o, bulrushlug.MessageReport(DecodeReport(w.Report)))
	}
	return bulrushlug.NewMessage(append(o, decodeAdmissionParts(&w)...)...), nil
}

// decodeAdmissionParts decodes the parts of w that belong to rate limiting.
func decodeAdmissionParts(w *wire.Packet) []bulrushlug.MessagePart {
	var o []bulrushlug.MessagePart
	if a := w.Ask; a != nil {
		o = append(o, bulrushlug.MessageAdmissionRequest(bulrushlug.NewAdmissionRequest(a.Organisation, a.Count, a.Sequence)))
	}
	if g := w.Grant; g != nil {
		o = append(o, bulrushlug.MessageGrant(decodeGrant(g)))
	}
	if r := w.Release; r != nil {
		o = append(o, bulrushlug.MessageRelease(bulrushlug.NewRelease(r.Organisation, r.Epoch)))
	}
	if r := w.Released; r != nil {
		q := bulrushlug.NewRelease(r.Organisation, r.Epoch)
		o = append(o, bulrushlug.MessageReleased(bulrushlug.NewReleased(q, r.Balance)))
	}
	return o
}

func encodeGrant(g bulrushlug.Grant) *wire.Grant {
	return &wire.Grant{
		Organisation: g.Organisation(),
		Count:        g.Count(),
		Sequence:     g.Sequence(),
		WaitMs:       uint64(g.Wait().Milliseconds()),
		Home:         g.Home(),
	}
}

func decodeGrant(w *wire.Grant) bulrushlug.Grant {
	a := bulrushlug.NewAdmissionRequest(w.Organisation, 0, w.Sequence)
	if !w.Home {
		return bulrushlug.NewGrantRefusal(a)
	}
	return bulrushlug.NewGrant(a, w.Count, time.Duration(w.WaitMs)*time.Millisecond)
}

// EncodeLoad encodes a load report.
func EncodeLoad(l bulrushlug.LoadReport) *wire.Heartbeat {
	return &wire.Heartbeat{
		Vm:       l.VM(),
		Address:  l.Address(),
		Region:   l.Region(),
		Zone:     l.Zone(),
		Boot:     l.Boot(),
		Sequence: l.Sequence(),
		Leaving:  l.Leaving(),
		Slots:    l.Slots(),
		Online:   l.Online(),
		Batch:    l.Batch(),
		Queued:   l.Queued(),
		Models:   l.Models(),
		Services: l.Services(),
	}
}

func decodeLoads(l []*wire.Heartbeat) []bulrushlug.LoadReport {
	var m []bulrushlug.LoadReport
	for _, w := range l {
		m = append(m, bulrushlug.NewLoadReport(w.Vm, w.Sequence,
			bulrushlug.LoadReportAt(w.Address, w.Region, w.Zone, w.Boot),
			bulrushlug.LoadReportCounts(w.Slots, w.Online, w.Batch, w.Queued),
			bulrushlug.LoadReportServes(w.Models, w.Services),
			bulrushlug.LoadReportLeaving(w.Leaving)))
	}
	return m
}
