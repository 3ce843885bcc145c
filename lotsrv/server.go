// Package lotsrv answers the calls of other processes about lots over drpc.
package lotsrv

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/wire"
)

// Server serves lots and what the process has read of the key-value service.
type Server struct {
	keeper   *lots.ReplicaManager // Nil for a process without a disk.
	snapshot func(operated, servers uint64) (l []bulrushlug.KVEntry, manifest, backends uint64)
}

// New returns a server of the lots in k, which may be nil, and of the entries that f returns beyond two changes.
func New(k *lots.ReplicaManager, f func(operated, servers uint64) (l []bulrushlug.KVEntry, manifest, backends uint64)) *Server {
	return &Server{keeper: k, snapshot: f}
}

// Run serves connections from l until c ends.
func (s *Server) Run(c context.Context, l net.Listener) error {
	m := drpcmux.New()
	if s.keeper != nil {
		if err := wire.DRPCRegisterLots(m, &keeper{s.keeper}); err != nil {
			return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
		}
	}
	if err := wire.DRPCRegisterSite(m, s); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
	}
	return drpcserver.NewWithOptions(m, drpcserver.Options{Manager: lotcli.ConnOptions()}).Serve(c, l)
}

// Snapshot returns what the process has read of the key-value service.
func (s *Server) Snapshot(_ context.Context, q *wire.KnownRequest) (*wire.Known, error) {
	l, m, b := s.snapshot(q.Operated, q.Servers)
	w := &wire.Known{ManifestRevision: m, BackendRevision: b}
	for _, i := range l {
		w.Items = append(w.Items, &wire.KnownItem{Key: i.Key(), Value: i.Value(), Revision: i.Revision()})
	}
	return w, nil
}

// keeper serves lots; refusals and failures are answers, so that their kind is kept.
type keeper struct{ *lots.ReplicaManager }

func problem(err error) *wire.LotPage { return &wire.LotPage{Problem: codec.EncodeProblem(err)} }

// Submit accepts a lot.
func (k *keeper) Submit(c context.Context, w *wire.Lot) (*wire.LotPage, error) {
	if err := k.ReplicaManager.Submit(c, codec.DecodeLot(w)); err != nil {
		return problem(err), nil
	}
	return &wire.LotPage{}, nil
}

// Read returns results.
func (k *keeper) Read(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	p, err := k.ReplicaManager.Read(c, codec.DecodeLotQuery(w))
	if err != nil {
		return problem(err), nil
	}
	return codec.EncodeLotPage(p), nil
}

// Body returns the body of an item.
func (k *keeper) Body(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	b, err := k.ReplicaManager.Body(c, codec.DecodeLotQuery(w))
	if err != nil {
		return problem(err), nil
	}
	return &wire.LotPage{Body: b}, nil
}

// End ends a lot.
func (k *keeper) End(c context.Context, w *wire.LotRef) (*wire.LotPage, error) {
	if err := k.ReplicaManager.End(c, codec.DecodeLotQuery(w)); err != nil {
		return problem(err), nil
	}
	return &wire.LotPage{}, nil
}

// Append takes a step of a primary.
func (k *keeper) Append(_ context.Context, w *wire.LotAppend) (*wire.LotState, error) {
	u, err := codec.DecodeLotUpdate(w)
	if err != nil {
		return nil, err
	}
	s, err := k.ReplicaManager.Append(u)
	return codec.EncodeLotState(s), err
}

// Verify reports which epoch a lot follows here.
func (k *keeper) Verify(_ context.Context, w *wire.LotRef) (*wire.LotState, error) {
	return codec.EncodeLotState(k.ReplicaManager.Verify(w.Id, w.Epoch)), nil
}

// Forget drops a copy.
func (k *keeper) Forget(_ context.Context, w *wire.LotRef) (*wire.LotState, error) {
	if w.Draft != "" {
		k.Withdraw(w.Id, w.Draft)
	} else {
		k.ReplicaManager.Forget(w.Id, w.Epoch)
	}
	return &wire.LotState{}, nil
}
