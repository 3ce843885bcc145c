package daemon

import (
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// serveExplanation answers where a request to the host and path of the query would go now, and why, without sending it.
func (s *Daemon) serveExplanation(w http.ResponseWriter, r *http.Request) {
	f := s.Config()
	if f == nil {
		http.Error(w, "no manifest received yet", http.StatusServiceUnavailable)
		return
	}
	t, ok := f.RouteFor(bulrushlug.Hostname(r.FormValue("host")), r.FormValue("path"))
	if !ok {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	if t.Traffic() == bulrushlug.TrafficLot {
		s.roleHandler.explainLot(w)
	}
	for _, v := range t.Shares() {
		_, _ = fmt.Fprintf(w, "route %s, service %s, weight %d\n", t.Name(), v.Service(), v.Weight())
		writeProspects(w, s.slotTable.Explain(v.Service()))
	}
	if len(t.Shares()) == 0 {
		_, _ = fmt.Fprintf(w, "route %s, service %s\n", t.Name(), t.Name())
		writeProspects(w, s.slotTable.Explain(t.Name()))
	}
}

// explainLot writes the processes that a lot would be offered to.
func (e *entry) explainLot(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "LOT GOES TO\tZONE\tSTORE LOST")
	for _, p := range e.router.Explain() {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%v\n", p.Member().Name(), p.Member().Zone(), p.StoreLost())
	}
	_ = t.Flush()
}

// explainLot writes that lots come to entries.
func (*data) explainLot(w io.Writer) { _, _ = fmt.Fprintln(w, "lots come to entries") }

func writeProspects(w io.Writer, l []bulrushlug.Prospect) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVER\tZONE\tRULE\tSCORE\tSLOTS\tOWN\tOTHERS\tBATCH\tAGE\tDISTANCE\tCONNECTED\tFIRST\tFAILED")
	for _, p := range l {
		x := p.Load()
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%d\t%d\t%d\t%d\t%s\t%.1f\t%v\t%s\t%d\n", p.Backend().ID(), p.Backend().Zone(), p.Reason(),
			p.Score(), x.Slots(), x.Own(), x.Others(), x.Batch(), p.Age().Round(time.Millisecond), x.Distance(), x.Connected(),
			x.Answers().MeanFirst(), x.Answers().Failed())
	}
	_ = t.Flush()
}
