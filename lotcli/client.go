// Package lotcli calls the processes that keep lots over drpc.
package lotcli

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/conns"
	"bulrushlug.dev/bulrushlug/wire"
)

// MaxMessageSize is the largest message in bytes: a lot of the largest body, or all results of one.
const MaxMessageSize = 32 << 20

// Client calls other processes; each call has a connection of its own, so that none waits on one that went silent.
type Client struct{}

// New returns a client.
func New() *Client { return &Client{} }

// ConnOptions returns the settings of connections for messages of up to MaxMessage bytes.
func ConnOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageSize}}
}

// connect returns a connection to a; without one nothing was sent.
func connect(c context.Context, a string) (*drpcconn.Conn, error) {
	n, err := conns.Dialer().DialContext(c, "tcp", a)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: ConnOptions()}), nil
}

// call makes one call over a connection of its own.
func call[A any](c context.Context, a string, f func(c context.Context, l wire.DRPCLotsClient) (A, error)) (A, error) {
	var none A
	n, err := connect(c, a)
	if err != nil {
		return none, err
	}
	defer func() { _ = n.Close() }()
	x, err := f(c, wire.NewDRPCLotsClient(n))
	if err != nil {
		return none, bulrushlug.WrapError(bulrushlug.KindUncertain, a, err)
	}
	return x, nil
}

// page makes a call whose answer may name a problem.
func page(c context.Context, a string, f func(c context.Context, l wire.DRPCLotsClient) (*wire.LotPage, error)) (*wire.LotPage, error) {
	p, err := call(c, a, f)
	if err == nil && p.Problem != nil {
		err = codec.DecodeProblem(p.Problem)
	}
	return p, err
}

// Append makes the replica at a take u.
func (k *Client) Append(c context.Context, a string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	s, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Append(c, codec.EncodeLotUpdate(u))
	})
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return codec.DecodeLotState(s), nil
}

// Verify asks the replica at a whether it follows epoch n of lot i.
func (k *Client) Verify(c context.Context, a, i string, n uint64) (bulrushlug.LotReplicaState, error) {
	s, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Verify(c, &wire.LotRef{Id: i, Epoch: n})
	})
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return codec.DecodeLotState(s), nil
}

// Forget removes the copy of lot i at a, unless it follows an epoch after n.
func (k *Client) Forget(c context.Context, a, i string, n uint64) error {
	_, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Forget(c, &wire.LotRef{Id: i, Epoch: n})
	})
	return err
}

// Withdraw removes the copy of lot i at a if it was never confirmed and came from the primary on disk d.
func (k *Client) Withdraw(c context.Context, a, i, d string) error {
	_, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Forget(c, &wire.LotRef{Id: i, Draft: d})
	})
	return err
}

// Submit hands the lot l to the process at a.
func (k *Client) Submit(c context.Context, a string, l bulrushlug.Lot) error {
	_, err := page(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Submit(c, codec.EncodeLot(l))
	})
	return err
}

// Read returns results of a lot that the process at a runs.
func (k *Client) Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	p, err := page(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Read(c, codec.EncodeLotQuery(q))
	})
	if err != nil {
		return bulrushlug.LotPage{}, err
	}
	return codec.DecodeLotPage(p), nil
}

// Body returns the body of an item of a lot that the process at a runs.
func (k *Client) Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error) {
	p, err := page(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Body(c, codec.EncodeLotQuery(q))
	})
	if err != nil {
		return nil, err
	}
	return p.Body, nil
}

// End ends a lot that the process at a runs.
func (k *Client) End(c context.Context, a string, q bulrushlug.LotQuery) error {
	_, err := page(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.End(c, codec.EncodeLotQuery(q))
	})
	return err
}

// snapshotTimeout bounds a question for what another process has read.
const snapshotTimeout = 700 * time.Millisecond

// Snapshot returns what the process at a has read of the key-value service beyond the changes operated and servers:
// entries and the revisions of manifest and servers, of which those that are not newer are zero.
func (k *Client) Snapshot(c context.Context, a string, operated, servers uint64) (l []bulrushlug.KVEntry, manifest, backends uint64, err error) {
	c, stop := context.WithTimeout(c, snapshotTimeout)
	defer stop()
	n, err := connect(c, a)
	if err != nil {
		return nil, 0, 0, err
	}
	defer func() { _ = n.Close() }()
	x, err := wire.NewDRPCSiteClient(n).Snapshot(c, &wire.KnownRequest{Operated: operated, Servers: servers})
	if err != nil {
		return nil, 0, 0, bulrushlug.WrapError(bulrushlug.KindUncertain, a, err)
	}
	for _, i := range x.Items {
		l = append(l, bulrushlug.NewKVEntry(i.Key, i.Value, i.Revision))
	}
	return l, x.ManifestRevision, x.BackendRevision, nil
}
