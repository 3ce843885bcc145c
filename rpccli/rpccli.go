// Package rpccli is the drpc client for calls to other processes.
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
	dialTimeout    = time.Second
	callTimeout    = 5 * time.Second
	silenceTimeout = 4 * time.Second // Time without a message after which an agent counts as failed.
	idleTimeout    = time.Minute
	maxIdleConns   = 4096 // To all processes together.
	maxIdlePerPeer = 64
)

// Client calls other processes over pooled connections.
type Client struct {
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	tls   func() *tls.Config // Nil for connections without TLS.
	clock *clock.Clock
}

// New returns a client that secures connections with the configuration of t, if t isn't nil.
func New(k *clock.Clock, t func() *tls.Config) *Client {
	return &Client{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdleConns,
			KeyCapacity: maxIdlePerPeer,
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

// Dispatch runs r at the agent d and relays its response; KindUnplaceable means that r did not run there, and
// KindUncertain that it may have.
//
// Each call opens its own connection: a pooled one may have died unnoticed, or carry the rest of an earlier response.
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
		return interrupted(c, d, err)
	}
	t := time.AfterFunc(silenceTimeout, func() { stop(errSilent) })
	defer t.Stop()
	return l.relay(c, d, r, p, s, t)
}

var errSilent = bulrushlug.Errorf(bulrushlug.KindUncertain, "the agent stopped responding")

// notRun classifies the error of a call whose connection failed to open; the request did not run.
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
			return interrupted(c, d, err)
		}
		t.Reset(silenceTimeout)
		l.clock.Observe(m.Stamp)
		if m.Attempt != r.Attempt() {
			continue
		}
		if m.Problem != nil {
			return codec.DecodeError(m.Problem)
		}
		if err := forward(m, s); err != nil {
			return err
		}
		if m.Last {
			return nil
		}
	}
}

// forward writes the message m to s; an empty message is a keep-alive.
func forward(m *wire.Piece, s bulrushlug.Sink) error {
	if m.Status != 0 {
		if err := s.Head(int(m.Status), string(m.ContentType)); err != nil {
			return err
		}
	}
	if len(m.Data) == 0 {
		return nil
	}
	return s.Write(m.Data)
}

// interrupted classifies the error of a response that ended early; the request may have run.
func interrupted(c context.Context, d bulrushlug.Candidate, err error) error {
	switch {
	case context.Cause(c) == errSilent:
		return errSilent
	case c.Err() != nil:
		return c.Err()
	case errors.Is(err, io.EOF):
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "%s: the response ended early", d.VM())
	}
	return bulrushlug.WrapError(bulrushlug.KindUncertain, d.VM(), err)
}

// Put stores chunk n of file f on the VM at a; it returns once the chunk is synced to disk.
func (l *Client) Put(c context.Context, a, f string, n uint32, p []byte) error {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	_, err := wire.NewDRPCChunksClient(l.conn(c, a)).Put(c, &wire.Chunk{File: f, Index: n, Data: p})
	return storageError(a, err)
}

// Get returns chunk n of file f from the VM at a.
func (l *Client) Get(c context.Context, a, f string, n uint32) ([]byte, error) {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	x, err := wire.NewDRPCChunksClient(l.conn(c, a)).Get(c, &wire.ChunkRef{File: f, Index: n})
	if err != nil {
		return nil, storageError(a, err)
	}
	return x.Data, nil
}

// Drop removes chunk n of file f from the VM at a.
func (l *Client) Drop(c context.Context, a, f string, n uint32) error {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	_, err := wire.NewDRPCChunksClient(l.conn(c, a)).Drop(c, &wire.ChunkRef{File: f, Index: n})
	return storageError(a, err)
}

func storageError(a string, err error) error {
	if err == nil {
		return nil
	}
	return bulrushlug.WrapError(bulrushlug.KindStorage, a, err)
}

// Pull returns the configuration of the process at a; it has no entities unless it is newer than revision n.
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

// History returns the events of the process at a that match q.
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

// Probe returns an error if the process at a does not respond.
func (l *Client) Probe(c context.Context, a string) error {
	_, err := l.Position(c, a)
	return err
}

// Position returns the position of the process at a: its revision, freshness and role.
func (l *Client) Position(c context.Context, a string) (*wire.Position, error) {
	c, stop := context.WithTimeout(c, callTimeout)
	defer stop()
	x, err := wire.NewDRPCPeerClient(l.conn(c, a)).Where(c, &wire.PositionRequest{})
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUnplaceable, a, err)
	}
	return x, nil
}
