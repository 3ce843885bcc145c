package codec

import (
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
		w.Usages = append(w.Usages, &wire.Usage{Backend: u.Backend(), Online: u.Online(), Batch: u.Batch()})
	}
	for _, s := range r.AdmissionCounts() {
		w.Spendings = append(w.Spendings, &wire.Spending{Organisation: s.Organisation(), Admitted: s.Admitted(), Level: s.Level()})
	}
	for _, b := range r.Leaving() {
		w.LeavingServers = append(w.LeavingServers, &wire.LeavingServer{Id: b.ID(), Service: b.Service(), Address: b.Address(), StartMs: b.StartTime()})
	}
	w.Lots, w.Forward, w.Relayed = r.Lots(), r.ForwardTo(), r.Relayed()
	return w
}

// DecodeReport decodes a report; its member has a data folder if the report names a disk.
func DecodeReport(w *wire.Report) bulrushlug.Report {
	m := bulrushlug.NewMember(w.Vm, w.Address, "", w.Zone, w.Role).WithLeaving(w.Leaving).WithDataFolder(w.Disk != "")
	var u []bulrushlug.Usage
	for _, x := range w.Usages {
		u = append(u, bulrushlug.NewUsage(x.Backend, x.Online, x.Batch))
	}
	var s []bulrushlug.AdmissionCount
	for _, x := range w.Spendings {
		s = append(s, bulrushlug.NewAdmissionCount(x.Organisation, x.Admitted, x.Level))
	}
	var l []bulrushlug.Backend
	for _, x := range w.LeavingServers {
		l = append(l, bulrushlug.NewBackend(x.Id, x.Service, x.Address, bulrushlug.BackendStart(x.StartMs, 0)))
	}
	return bulrushlug.NewReport(m, w.Boot, w.Sequence, bulrushlug.ReportState(w.Disk, w.Manifest), bulrushlug.ReportSeenRevisions(w.Operated, w.Servers), bulrushlug.ReportStoreLost(w.StoreLost),
		bulrushlug.ReportUsages(u), bulrushlug.ReportAdmissionCounts(s), bulrushlug.ReportLots(w.Lots), bulrushlug.ReportForwardTo(w.Forward), bulrushlug.ReportRelayed(w.Relayed),
		bulrushlug.ReportLeaving(l))
}
