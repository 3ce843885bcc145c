package bulrushlug

// Departure is a response that says that its backend server is leaving; values are immutable.
type Departure struct {
	backend     Backend // Server that the request was sent to.
	request     string  // Identifier of the request.
	evidence    string  // Describes the response, for the log.
	misdirected bool    // The response is that of another server, which has the address of backend now.
}

// DepartureObserver is told of responses that say that their backend server is leaving.
type DepartureObserver interface {
	// ObserveDeparture is called as soon as the header of the response has arrived; it must not block.
	ObserveDeparture(d Departure)
}

// NewDeparture returns the departure of b by a response to the request with identifier r; evidence describes it.
func NewDeparture(b Backend, r, evidence string) Departure {
	return Departure{backend: b, request: r, evidence: evidence}
}

// WithMisdirected returns a copy that is the response of another server at the address of the one it was sent to.
func (d Departure) WithMisdirected() Departure {
	d.misdirected = true
	return d
}

// Backend returns the server that the request was sent to.
func (d Departure) Backend() Backend { return d.backend }

// Request returns the identifier of the request.
func (d Departure) Request() string { return d.request }

// Evidence describes the response.
func (d Departure) Evidence() string { return d.evidence }

// Misdirected reports whether the response is that of another server, which has the address of Backend now.
func (d Departure) Misdirected() bool { return d.misdirected }
