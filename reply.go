package bulrushlug

import "context"

const (
	firstFinalStatus = 200
	lastStatus       = 599
)

// IsFinalStatus reports whether a response that is not an interim one may have HTTP status n.
func IsFinalStatus(n int) bool { return n >= firstFinalStatus && n <= lastStatus }

// Reply is the streamed response of a backend server.
type Reply interface {
	// Status returns the HTTP status.
	Status() int
	// Fields returns the header fields to pass on to the caller.
	Fields() []Field
	// Framed reports whether the response says where its body ends.
	Framed() bool
	// Read reads the body; io.EOF means that the response is complete, unless it isn't framed and its server crashed.
	Read(p []byte) (int, error)
	// Close ends the exchange and cancels a response that was not read to its end.
	Close()
}

// BackendClient sends requests to backend servers.
type BackendClient interface {
	// Call sends r to b and returns once the response header has arrived.
	//
	// KindUnplaceable, KindOverloaded and KindMisdirected mean that r did not run there; after KindUncertain it may have.
	Call(c context.Context, b Backend, r *Request) (Reply, error)
}

// FieldSink is a sink that accepts the header fields of a response.
type FieldSink interface {
	Sink
	// HeadFields starts the response with the header fields l; it replaces the call of Head.
	HeadFields(status int, l []Field) error
}
