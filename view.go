package bulrushlug

import "time"

// View is what an entry knows of one backend server at one moment; values are immutable.
type View struct {
	load  Load
	live  bool          // The server reported lately.
	avoid bool          // The server failed lately.
	busy  float64       // Requests for each slot, at least zero.
	delay time.Duration // Smoothed time to the first piece of an answer; zero if there was none.
}

// ViewOption sets some fields of a view.
type ViewOption func(v *View)

// NewView returns the view of a server with load report l.
func NewView(l Load, o ...ViewOption) View {
	v := View{load: l}
	for _, f := range o {
		f(&v)
	}
	return v
}

// ViewHealth sets whether the server reported lately, and whether it failed lately.
func ViewHealth(live, avoid bool) ViewOption {
	return func(v *View) { v.live, v.avoid = live, avoid }
}

// ViewCost sets the requests for each slot and the time to the first piece of an answer.
func ViewCost(busy float64, d time.Duration) ViewOption {
	return func(v *View) { v.busy, v.delay = busy, d }
}

// Load returns the last load report.
func (v View) Load() Load { return v.load }

// Live reports whether the server reported lately.
func (v View) Live() bool { return v.live }

// RecentlyFailed reports whether the server failed lately.
func (v View) RecentlyFailed() bool { return v.avoid }

// LoadPerSlot returns the estimated number of requests for each slot.
func (v View) LoadPerSlot() float64 { return v.busy }

// Delay returns the smoothed time to the first piece of an answer.
func (v View) Delay() time.Duration { return v.delay }

// Chooser orders the servers that may run a request.
type Chooser interface {
	// Choose returns the servers of l in the order in which r should try them; it may change l.
	Choose(r *Request, l []View) []View
}
