package bulrushlug

import "context"

// Reply is the answer of a backend server as it arrives.
type Reply interface {
	// Status returns the HTTP status.
	Status() int
	// Fields returns the header fields that are the caller's.
	Fields() []Field
	// Read reads the body; io.EOF means that the answer is whole.
	Read(p []byte) (int, error)
	// Close ends the exchange; a reply that was not read to its end is broken off.
	Close()
}

// BackendClient sends requests to backend servers.
type BackendClient interface {
	// Call sends r to b and returns the head of the answer.
	//
	// KindUnplaceable, KindOverloaded and KindMisdirected mean that r did not run there; after KindUncertain it may have.
	Call(c context.Context, b Backend, r *Request) (Reply, error)
}

// FieldSink is a sink that takes the header fields of an answer.
type FieldSink interface {
	Sink
	// HeadFields starts the answer in place of Head.
	HeadFields(status int, l []Field) error
}
