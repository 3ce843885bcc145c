package bulrushlug

import "time"

// ColdServer is what a backend server said of how long it stays cold; values are immutable.
type ColdServer struct {
	id   string
	left time.Duration // At least zero.
}

// NewColdServer returns the statement of the server with identifier i that it stays cold for d.
func NewColdServer(i string, d time.Duration) ColdServer { return ColdServer{id: i, left: max(0, d)} }

// ID returns the identifier of the server.
func (s ColdServer) ID() string { return s.id }

// Left returns how long the server stays cold.
func (s ColdServer) Left() time.Duration { return s.left }

// ResponseObserver is told what backend servers say of themselves in their responses.
type ResponseObserver interface {
	DepartureObserver
	// ObserveCold is called as soon as the header of a response has arrived that says that b stays cold for d; it must not
	// block.
	ObserveCold(b Backend, d time.Duration)
}
