// Package lotsrv is the drpc server for calls of other processes about lots.
package lotsrv

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/wire"
)

// acceptDelay is the time to the next connection after one could not be accepted.
const acceptDelay = 100 * time.Millisecond

// Server serves lots and the entries that this process has read from the key-value service.
type Server struct {
	manager  *lots.ReplicaManager // Nil for a process without a disk.
	guard    *guard.Guard
	snapshot func(c context.Context, operatorRevision, backendRevision uint64) (l []bulrushlug.KVEntry, manifest, backends uint64)
}

// New returns a server of the lots in k, which may be nil, that handles calls under g. f returns the entries of operators and of backend servers, each
// set only if it changed after the given revision, and the revisions of both sets.
func New(k *lots.ReplicaManager, g *guard.Guard, f func(c context.Context, operatorRevision, backendRevision uint64) (l []bulrushlug.KVEntry, manifest, backends uint64)) *Server {
	return &Server{manager: k, guard: g, snapshot: f}
}

// Run serves connections from l until c ends.
func (s *Server) Run(c context.Context, l net.Listener) error {
	m := drpcmux.New()
	if s.manager != nil {
		if err := wire.DRPCRegisterLots(m, &lotService{s.manager}); err != nil {
			return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
		}
	}
	if err := wire.DRPCRegisterSite(m, s); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
	}
	d := drpcserver.NewWithOptions(s.guard.RPC(m), drpcserver.Options{Manager: lotcli.ConnOptions()})
	defer context.AfterFunc(c, func() { _ = l.Close() })()
	var w sync.WaitGroup
	defer w.Wait()
	for {
		n, err := l.Accept()
		switch {
		case err == nil:
			w.Go(func() { serveConn(c, d, n) })
		case c.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
		default: // No descriptor is free, or the caller is gone.
			_ = bulrushlug.Sleep(c, acceptDelay)
		}
	}
}

// serveConn serves the calls on n until it or c ends. A reader of drpc may wait for a stream instead of bytes, and would not see that
// n was closed.
func serveConn(c context.Context, d *drpcserver.Server, n net.Conn) {
	c, stop := context.WithCancel(c)
	defer stop()
	if o, ok := n.(interface {
		OnClose(f func())
		End()
	}); ok {
		o.OnClose(stop)
		defer o.End()
	}
	_ = d.ServeOne(c, n)
}

// Snapshot returns the entries that this process has read from the key-value service and that are newer than the
// revisions in q, in the two sets that lotcli.Client.Snapshot describes.
func (s *Server) Snapshot(c context.Context, q *wire.KnownRequest) (*wire.Known, error) {
	l, m, b := s.snapshot(c, q.Operated, q.Servers)
	w := &wire.Known{ManifestRevision: m, BackendRevision: b}
	for _, i := range l {
		w.Items = append(w.Items, &wire.KnownItem{Key: []byte(i.Key()), Value: i.Value(), Revision: i.Revision(),
			RetentionMs: uint32(i.Retention().Milliseconds())})
	}
	return w, nil
}

// lotService serves lots; errors are returned inside responses, so that their kind is kept.
type lotService struct{ *lots.ReplicaManager }

func errorPage(err error) *wire.LotPage { return &wire.LotPage{Problem: codec.EncodeError(err)} }

// Submit accepts a lot.
func (k *lotService) Submit(c context.Context, w *wire.Lot) (*wire.LotPage, error) {
	if err := k.ReplicaManager.Submit(c, codec.DecodeLot(w)); err != nil {
		return errorPage(err), nil
	}
	return &wire.LotPage{}, nil
}

// Read returns results.
func (k *lotService) Read(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	p, err := k.ReplicaManager.Read(c, codec.DecodeLotQuery(w))
	if err != nil {
		return errorPage(err), nil
	}
	return codec.EncodeLotPage(p), nil
}

// Body returns the body of an item.
func (k *lotService) Body(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	b, err := k.ReplicaManager.Body(c, codec.DecodeLotQuery(w))
	if err != nil {
		return errorPage(err), nil
	}
	return &wire.LotPage{Body: b}, nil
}

// End ends a lot.
func (k *lotService) End(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	if err := k.ReplicaManager.End(c, codec.DecodeLotQuery(w)); err != nil {
		return errorPage(err), nil
	}
	return &wire.LotPage{}, nil
}

// Append applies an update of a primary.
func (k *lotService) Append(_ context.Context, w *wire.LotAppend) (*wire.LotState, error) {
	u, err := codec.DecodeLotUpdate(w)
	if err != nil {
		return nil, err
	}
	s, err := k.ReplicaManager.Append(u)
	return codec.EncodeLotReplicaState(s), err
}

// Verify reports the epoch of the replica of a lot.
func (k *lotService) Verify(_ context.Context, w *wire.LotRef) (*wire.LotState, error) {
	return codec.EncodeLotReplicaState(k.ReplicaManager.Verify(w.Id, w.Epoch)), nil
}

// Forget removes a replica. If the request names a disk, it removes only a replica that was never confirmed and that the
// primary on that disk created.
func (k *lotService) Forget(_ context.Context, w *wire.LotRef) (*wire.LotState, error) {
	if w.Draft != "" {
		k.Withdraw(w.Id, w.Draft)
	} else {
		k.ReplicaManager.Forget(w.Id, w.Epoch)
	}
	return &wire.LotState{}, nil
}
