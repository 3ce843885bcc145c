package bulrushlug

import "time"

// View is an entry's current view of one backend server, by which a Balancer ranks it; values are immutable.
type View struct {
	load             LoadReport
	live             bool          // The server has sent a load report recently.
	recentlyFailed   bool          // The server has failed a request recently.
	loadPerSlot      float64       // Estimated requests per slot, at least zero.
	firstByteLatency time.Duration // Moving average of the time to the first part of a response; zero before the first response.
}

// ViewOption configures a new View.
type ViewOption func(v *View)

// NewView returns the view of a server with load report l.
func NewView(l LoadReport, o ...ViewOption) View {
	v := View{load: l}
	for _, f := range o {
		f(&v)
	}
	return v
}

// ViewHealth sets whether the server has reported recently, and whether it has failed recently.
func ViewHealth(live, recentlyFailed bool) ViewOption {
	return func(v *View) { v.live, v.recentlyFailed = live, recentlyFailed }
}

// ViewCost sets the estimated requests per slot and the average time to the first part of a response.
func ViewCost(loadPerSlot float64, d time.Duration) ViewOption {
	return func(v *View) { v.loadPerSlot, v.firstByteLatency = loadPerSlot, d }
}

// LoadReport returns the last load report.
func (v View) LoadReport() LoadReport { return v.load }

// Live reports whether the server has sent a load report recently.
func (v View) Live() bool { return v.live }

// RecentlyFailed reports whether the server has failed a request recently.
func (v View) RecentlyFailed() bool { return v.recentlyFailed }

// LoadPerSlot returns the estimated requests per slot.
func (v View) LoadPerSlot() float64 { return v.loadPerSlot }

// FirstByteLatency returns the moving average of the time to the first part of a response; zero before the first response.
func (v View) FirstByteLatency() time.Duration { return v.firstByteLatency }

// Balancer ranks the backend servers for a request (load balancing).
type Balancer interface {
	// Choose returns the servers of l in the order in which r should try them; it may modify l.
	Choose(r *Request, l []View) []View
}
