// Package rpccli calls other processes over drpc.
package rpccli

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 5 * time.Second
	silence     = 4 * time.Second // Time without a piece after which an agent counts as lost.
	idleTime    = time.Minute
	idleConns   = 4096 // Idle connections to all processes.
	idlePerPeer = 64
)

// Client keeps connections to other processes.
type Client struct {
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	tls   func() *tls.Config // Nil for plain connections.
	clock *clock.Clock
}

// New returns a link that secures connections by the configuration of t, if t isn't nil.
func New(k *clock.Clock, t func() *tls.Config) *Client {
	return &Client{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTime,
			Capacity:    idleConns,
			KeyCapacity: idlePerPeer,
		}),
		tls:   t,
		clock: k,
	}
}

// Close closes all idle connections.
func (l *Client) Close() error { return l.pool.Close() }

func (l *Client) conn(c context.Context, a string) drpc.Conn {
	return l.pool.Get(c, a, func(c context.Context, a string) (drpcpool.Conn, error) {
		n, err := l.dial(c, a)
		if err != nil {
			return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
		}
		return drpcconn.New(n), nil
	})
}

func (l *Client) dial(c context.Context, a string) (net.Conn, error) {
	c, stop := context.WithTimeout(c, dialTimeout)
	defer stop()
	var d net.Dialer
	if l.tls == nil {
		return d.DialContext(c, "tcp", a)
	}
	s := tls.Dialer{NetDialer: &d, Config: l.tls()}
	return s.DialContext(c, "tcp", a)
}

// Dispatch runs r at the agent d and relays its answer.
//
// Each call has a connection of its own: none can have died unnoticed since an earlier call, and none carries
// the rest of an earlier answer.
func (l *Client) Dispatch(c context.Context, d bulrushlug.Candidate, r *bulrushlug.Request, s bulrushlug.Sink) error {
	c, stop := context.WithCancelCause(c)
	defer stop(nil)
	n, err := l.dial(c, d.Address())
	if err != nil {
		return notRun(c, d, err)
	}
	k := drpcconn.New(n)
	defer func() { _ = k.Close() }()
	w := codec.EncodeCall(r)
	w.Stamp = l.clock.Now()
	p, err := wire.NewDRPCAgentClient(k).Run(c, w)
	if err != nil {
		return cutOff(c, d, err)
	}
	t := time.AfterFunc(silence, func() { stop(errSilent) })
	defer t.Stop()
	return l.relay(c, d, r, p, s, t)
}

var errSilent = bulrushlug.Errorf(bulrushlug.KindUncertain, "the agent is silent")

// notRun classifies a call for which there was no connection.
func notRun(c context.Context, d bulrushlug.Candidate, err error) error {
	if c.Err() != nil {
		return c.Err()
	}
	return bulrushlug.WrapError(bulrushlug.KindUnplaceable, d.VM(), err)
}

func (l *Client) relay(c context.Context, d bulrushlug.Candidate, r *bulrushlug.Request, p wire.DRPCAgent_RunClient, s bulrushlug.Sink, t *time.Timer) error {
	for {
		m, err := p.Recv()
		if err != nil {
			return cutOff(c, d, err)
		}
		t.Reset(silence)
		l.clock.Observe(m.Stamp)
		if m.Attempt != r.Attempt() {
			continue
		}
		if m.Problem != nil {
			return codec.DecodeProblem(m.Problem)
		}
		if err := pass(m, s); err != nil {
			return err
		}
		if m.Last {
			return nil
		}
	}
}

// pass hands the piece m to s; an empty piece only shows that the agent is there.
func pass(m *wire.Piece, s bulrushlug.Sink) error {
	if m.Status != 0 {
		if err := s.Head(int(m.Status), m.ContentType); err != nil {
			return err
		}
	}
	if len(m.Data) == 0 {
		return nil
	}
	return s.Write(m.Data)
}

// cutOff classifies an answer that ended early; the request may have run.
func cutOff(c context.Context, d bulrushlug.Candidate, err error) error {
	switch {
	case context.Cause(c) == errSilent:
		return errSilent
	case c.Err() != nil:
		return c.Err()
	case errors.Is(err, io.EOF):
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "%s: the answer ended early", d.VM())
	}
	return bulrushlug.WrapError(bulrushlug.KindUncertain, d.VM(), err)
}

// Put keeps chunk n of file f on the VM at a; it returns once the chunk is synced to disk.
func (l *Client) Put(c context.Context, a, f string, n uint32, p []byte) error {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	_, err := wire.NewDRPCChunksClient(l.conn(c, a)).Put(c, &wire.Chunk{File: f, Index: n, Data: p})
	return storage(a, err)
}

// Get returns chunk n of file f from the VM at a.
func (l *Client) Get(c context.Context, a, f string, n uint32) ([]byte, error) {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	x, err := wire.NewDRPCChunksClient(l.conn(c, a)).Get(c, &wire.ChunkRef{File: f, Index: n})
	if err != nil {
		return nil, storage(a, err)
	}
	return x.Data, nil
}

// Drop removes chunk n of file f from the VM at a.
func (l *Client) Drop(c context.Context, a, f string, n uint32) error {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	_, err := wire.NewDRPCChunksClient(l.conn(c, a)).Drop(c, &wire.ChunkRef{File: f, Index: n})
	return storage(a, err)
}

func storage(a string, err error) error {
	if err == nil {
		return nil
	}
	return bulrushlug.WrapError(bulrushlug.KindStorage, a, err)
}

// Pull returns the configuration that the process at a has, if it is newer than revision n.
func (l *Client) Pull(c context.Context, a string, n uint64) (*bulrushlug.Config, error) {
	x, err := wire.NewDRPCPeerClient(l.conn(c, a)).Pull(c, &wire.PullRequest{After: n})
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	e, err := codec.DecodeChanges(x.Changes)
	if err != nil {
		return nil, err
	}
	return bulrushlug.RestoreConfig(x.Revision, e), nil
}

// History returns the events that the process at a kept.
func (l *Client) History(c context.Context, a string, q *wire.EventsRequest) ([]bulrushlug.Event, error) {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	x, err := wire.NewDRPCPeerClient(l.conn(c, a)).History(c, q)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	var e []bulrushlug.Event
	for _, w := range x.Events {
		e = append(e, codec.DecodeEvent(w))
	}
	return e, nil
}

// Probe returns an error if the process at a does not answer.
func (l *Client) Probe(c context.Context, a string) error {
	_, err := l.Position(c, a)
	return err
}

// Position returns the revision that the process at a has.
func (l *Client) Position(c context.Context, a string) (*wire.Position, error) {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	x, err := wire.NewDRPCPeerClient(l.conn(c, a)).Where(c, &wire.PositionRequest{})
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	return x, nil
}
