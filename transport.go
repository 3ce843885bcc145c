package bulrushlug

import "context"

// Dispatcher sends requests to agents.
type Dispatcher interface {
	// Dispatch runs r on candidate d; KindUnplaceable and KindLeaving mean that it did not run there.
	Dispatch(c context.Context, d Candidate, r *Request, s Sink) error
}

// ChunkStore stores chunks of files on other VMs.
type ChunkStore interface {
	// Put stores chunk n of file f on the VM at address; it returns once the chunk is synced to disk.
	Put(c context.Context, address, f string, n uint32, p []byte) error
	// Get returns chunk n of file f.
	Get(c context.Context, address, f string, n uint32) ([]byte, error)
	// Drop deletes chunk n of file f.
	Drop(c context.Context, address, f string, n uint32) error
}

// LocalChunkStore stores chunks of files on the local disk.
type LocalChunkStore interface {
	// Put stores chunk n of file f; it returns once the chunk is synced to disk.
	Put(f string, n uint32, p []byte) error
	// Get returns chunk n of file f.
	Get(f string, n uint32) ([]byte, error)
	// Drop deletes chunk n of file f.
	Drop(f string, n uint32) error
}
