package codec

import (
	"math"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeReport encodes a report; the region of its member is omitted.
func EncodeReport(r bulrushlug.Report) *wire.Report {
	m := r.Member()
	w := &wire.Report{
		Vm:        m.Name(),
		Address:   m.Address(),
		Zone:      m.Zone(),
		Role:      m.Role(),
		Leaving:   m.Leaving(),
		Boot:      r.Boot(),
		Sequence:  r.Sequence(),
		Disk:      r.Disk(),
		Manifest:  r.Manifest(),
		StoreLost: r.StoreLost(),
	}
	w.Operated, w.Servers = r.SeenRevisions()
	for _, u := range r.Usages() {
		w.Usages = append(w.Usages, encodeUsage(u))
	}
	for _, s := range r.AdmissionCounts() {
		w.Spendings = append(w.Spendings, &wire.Spending{Organisation: s.Organisation(), Admitted: s.Admitted(), Level: s.Level()})
	}
	for _, x := range r.Suspects() {
		w.Suspects = append(w.Suspects, encodeSuspect(x))
	}
	for _, x := range r.ServerEnds() {
		w.ServerEnds = append(w.ServerEnds, &wire.ServerEnd{Server: x.Server(), AgeMs: milliseconds(x.Age())})
	}
	for _, b := range r.Leaving() {
		w.LeavingServers = append(w.LeavingServers, &wire.LeavingServer{Id: b.ID(), Service: b.Service(), Address: b.Address(), StartMs: b.StartTime()})
	}
	w.Lots, w.Forward, w.Relayed = r.Lots(), r.ForwardTo(), r.Relayed()
	w.Unreachable = r.Unreachable()
	for _, x := range r.Cold() {
		w.ColdServers = append(w.ColdServers, &wire.ColdServer{Id: x.ID(), LeftMs: milliseconds(x.Left())})
	}
	return w
}

// DecodeReport decodes a report; its member has a data folder if the report names a disk.
func DecodeReport(w *wire.Report) bulrushlug.Report {
	m := bulrushlug.NewMember(w.Vm, w.Address, "", w.Zone, w.Role).WithLeaving(w.Leaving).WithDataFolder(w.Disk != "")
	var u []bulrushlug.Usage
	for _, x := range w.Usages {
		u = append(u, bulrushlug.NewUsage(x.Backend, x.Online, x.Batch).WithAnswers(bulrushlug.NewAnswers(x.Begun, x.FirstMs, x.Failed)))
	}
	var s []bulrushlug.AdmissionCount
	for _, x := range w.Spendings {
		s = append(s, bulrushlug.NewAdmissionCount(x.Organisation, x.Admitted, x.Level))
	}
	var p []bulrushlug.Suspect
	for _, x := range w.Suspects {
		p = append(p, decodeSuspect(x))
	}
	var e []bulrushlug.ServerEnd
	for _, x := range w.ServerEnds {
		e = append(e, bulrushlug.NewServerEnd(x.Server, time.Duration(x.AgeMs)*time.Millisecond))
	}
	var l []bulrushlug.Backend
	for _, x := range w.LeavingServers {
		l = append(l, bulrushlug.NewBackend(x.Id, x.Service, x.Address, bulrushlug.BackendStart(x.StartMs, 0)))
	}
	var k []bulrushlug.ColdServer
	for _, x := range w.ColdServers {
		k = append(k, bulrushlug.NewColdServer(x.Id, time.Duration(x.LeftMs)*time.Millisecond))
	}
	return bulrushlug.NewReport(m, w.Boot, w.Sequence, bulrushlug.ReportState(w.Disk, w.Manifest), bulrushlug.ReportSeenRevisions(w.Operated, w.Servers), bulrushlug.ReportStoreLost(w.StoreLost),
		bulrushlug.ReportUsages(u), bulrushlug.ReportAdmissionCounts(s), bulrushlug.ReportLots(w.Lots), bulrushlug.ReportForwardTo(w.Forward), bulrushlug.ReportRelayed(w.Relayed), bulrushlug.ReportSuspects(p),
		bulrushlug.ReportServerEnds(e), bulrushlug.ReportLeaving(l), bulrushlug.ReportUnreachable(w.Unreachable), bulrushlug.ReportCold(k))
}

func encodeUsage(u bulrushlug.Usage) *wire.Usage {
	a := u.Answers()
	return &wire.Usage{Backend: u.Backend(), Online: u.Online(), Batch: u.Batch(), Begun: a.Begun(), FirstMs: a.FirstMs(), Failed: a.Failed()}
}

func encodeSuspect(x bulrushlug.Suspect) *wire.Suspect {
	w := &wire.Suspect{Scope: x.Scope(), Part: x.Part(), Own: x.Own()}
	for _, y := range x.Crashes() {
		w.Crashes = append(w.Crashes, &wire.Crash{Server: y.Server(), Address: y.Address(), Request: y.Request(), Others: y.Others(), AgeMs: milliseconds(y.Age())})
	}
	if d, ok := x.Success(); ok {
		n := milliseconds(d)
		w.SuccessMs = &n
	}
	if d, ok := x.Tested(); ok {
		n := milliseconds(d)
		w.TestedMs = &n
	}
	return w
}

func decodeSuspect(w *wire.Suspect) bulrushlug.Suspect {
	var l []bulrushlug.Crash
	for _, y := range w.Crashes {
		l = append(l, bulrushlug.NewCrash(y.Server, y.Address, y.Request, y.Others, time.Duration(y.AgeMs)*time.Millisecond))
	}
	d := time.Duration(-1)
	if w.SuccessMs != nil {
		d = time.Duration(*w.SuccessMs) * time.Millisecond
	}
	x := bulrushlug.NewSuspect(w.Scope, w.Part, w.Own, l, d)
	if w.TestedMs != nil {
		x = x.WithTest(time.Duration(*w.TestedMs) * time.Millisecond)
	}
	return x
}

// milliseconds returns d in whole milliseconds, within the range of its type.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
