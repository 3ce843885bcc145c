package bulrushlug

import "context"

// Dispatcher carries a request to the agent at an address.
type Dispatcher interface {
	// Dispatch runs r at d; KindUnplaceable and KindLeaving mean that it did not run there.
	Dispatch(c context.Context, d Candidate, r *Request, s Sink) error
}

// ChunkStore keeps chunks of files on the VM at an address.
type ChunkStore interface {
	// Put keeps chunk n of file f; it returns once the chunk is synced to disk.
	Put(c context.Context, address, f string, n uint32, p []byte) error
	// Get returns chunk n of file f.
	Get(c context.Context, address, f string, n uint32) ([]byte, error)
	// Drop removes chunk n of file f.
	Drop(c context.Context, address, f string, n uint32) error
}

// LocalChunkStore keeps chunks of files on the disk of this VM.
type LocalChunkStore interface {
	// Put keeps chunk n of file f; it returns once the chunk is synced.
	Put(f string, n uint32, p []byte) error
	// Get returns chunk n of file f.
	Get(f string, n uint32) ([]byte, error)
	// Drop removes chunk n of file f.
	Drop(f string, n uint32) error
}
