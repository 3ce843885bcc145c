// Package lotcli is the drpc client for processes that replicate lots.
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

// MaxMessageSize is the maximum message size in bytes: a lot with the largest body, or all results of one.
const MaxMessageSize = 32 << 20

// Client calls other processes. Each call has its own connection, so that none waits for another on a stalled
// connection.
type Client struct{}

// New returns a client.
func New() *Client { return &Client{} }

// ConnOptions returns the options of connections for messages of up to MaxMessageSize bytes.
func ConnOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageSize}}
}

// dial connects to the process at a; if that fails, nothing was sent.
func dial(c context.Context, a string) (*drpcconn.Conn, error) {
	n, err := conns.Dialer().DialContext(c, "tcp", a)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: ConnOptions()}), nil
}

// call makes one call over a connection of its own; if it fails after connecting, it may have taken effect.
func call[A any](c context.Context, a string, f func(c context.Context, l wire.DRPCLotsClient) (A, error)) (A, error) {
	var none A
	n, err := dial(c, a)
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

// callPage makes a call whose response may carry an error.
func callPage(c context.Context, a string, f func(c context.Context, l wire.DRPCLotsClient) (*wire.LotPage, error)) (*wire.LotPage, error) {
	p, err := call(c, a, f)
	if err == nil && p.Problem != nil {
		err = codec.DecodeError(p.Problem)
	}
	return p, err
}

// Append makes the replica at a apply u.
func (k *Client) Append(c context.Context, a string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	s, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Append(c, codec.EncodeLotUpdate(u))
	})
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return codec.DecodeLotReplicaState(s), nil
}

// Verify asks the replica at a whether it is in epoch n of lot i.
func (k *Client) Verify(c context.Context, a, i string, n uint64) (bulrushlug.LotReplicaState, error) {
	s, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Verify(c, &wire.LotRef{Id: i, Epoch: n})
	})
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return codec.DecodeLotReplicaState(s), nil
}

// Forget removes the replica of lot i at a, unless it is in a later epoch than n.
func (k *Client) Forget(c context.Context, a, i string, n uint64) error {
	_, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Forget(c, &wire.LotRef{Id: i, Epoch: n})
	})
	return err
}

// Withdraw removes the replica of lot i at a if it was never confirmed and was created by the primary on disk d.
func (k *Client) Withdraw(c context.Context, a, i, d string) error {
	_, err := call(c, a, func(c context.Context, l wire.DRPCLotsClient) (*wire.LotState, error) {
		return l.Forget(c, &wire.LotRef{Id: i, Draft: d})
	})
	return err
}

// Submit submits the lot l to the process at a.
func (k *Client) Submit(c context.Context, a string, l bulrushlug.Lot) error {
	_, err := callPage(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Submit(c, codec.EncodeLot(l))
	})
	return err
}

// Read returns results of a lot whose primary is the process at a.
func (k *Client) Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	p, err := callPage(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Read(c, codec.EncodeLotQuery(q))
	})
	if err != nil {
		return bulrushlug.LotPage{}, err
	}
	return codec.DecodeLotPage(p), nil
}

// Body returns the body of an item of a lot whose primary is the process at a.
func (k *Client) Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error) {
	p, err := callPage(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.Body(c, codec.EncodeLotQuery(q))
	})
	if err != nil {
		return nil, err
	}
	return p.Body, nil
}

// End ends a lot whose primary is the process at a.
func (k *Client) End(c context.Context, a string, q bulrushlug.LotQuery) error {
	_, err := callPage(c, a, func(c context.Context, x wire.DRPCLotsClient) (*wire.LotPage, error) {
		return x.End(c, codec.EncodeLotQuery(q))
	})
	return err
}

// snapshotTimeout bounds a request for the entries that another process has read.
const snapshotTimeout = 700 * time.Millisecond

// Snapshot returns the entries that the process at a has read from the key-value service: those of operators if they
// changed after operatorRevision, and those of backend servers if they changed after backendRevision. It also returns
// the revisions of both sets; that of an unchanged set is zero.
func (k *Client) Snapshot(c context.Context, a string, operatorRevision, backendRevision uint64) (l []bulrushlug.KVEntry, manifest, backends uint64, err error) {
	c, stop := context.WithTimeout(c, snapshotTimeout)
	defer stop()
	n, err := dial(c, a)
	if err != nil {
		return nil, 0, 0, err
	}
	defer func() { _ = n.Close() }()
	x, err := wire.NewDRPCSiteClient(n).Snapshot(c, &wire.KnownRequest{Operated: operatorRevision, Servers: backendRevision})
	if err != nil {
		return nil, 0, 0, bulrushlug.WrapError(bulrushlug.KindUncertain, a, err)
	}
	for _, i := range x.Items {
		l = append(l, bulrushlug.NewKVEntry(string(i.Key), i.Value, i.Revision).WithRetention(time.Duration(i.RetentionMs)*time.Millisecond))
	}
	return l, x.ManifestRevision, x.BackendRevision, nil
}
