// Package rpcsrv is the drpc server for calls from other processes.
package rpcsrv

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/wire"
)

// maxEvents is the largest number of events in one response.
const maxEvents = 2000

// Server serves the pipe, the chunks, the configuration and the events of one process; calls for a pipe or chunks that
// the process does not have fail.
type Server struct {
	guard    *guard.Guard
	stage    bulrushlug.Stage           // Pipe of the agent; nil on entries.
	disk     bulrushlug.LocalChunkStore // Nil without a data folder.
	source   bulrushlug.ConfigSource
	events   *event.Log
	clock    *clock.Clock
	position func() *wire.Position
	tls      func() *tls.Config
}

// option sets one field of a server.
type option func(s *Server)

// WithStage runs calls through g.
func WithStage(g bulrushlug.Stage) option { return func(s *Server) { s.stage = g } }

// WithDisk stores chunks in v.
func WithDisk(v bulrushlug.LocalChunkStore) option { return func(s *Server) { s.disk = v } }

// WithTLS secures connections with the current configuration from t, if t isn't nil.
func WithTLS(t func() *tls.Config) option { return func(s *Server) { s.tls = t } }

// New returns a server that handles calls under h, for the configuration of f, the events of e and the position that p returns.
func New(h *guard.Guard, f bulrushlug.ConfigSource, e *event.Log, k *clock.Clock, p func() *wire.Position, o ...option) *Server {
	s := &Server{guard: h, source: f, events: e, clock: k, position: p}
	for _, g := range o {
		g(s)
	}
	return s
}

// Run serves connections on l until c ends.
func (s *Server) Run(c context.Context, l net.Listener) error {
	m := drpcmux.New()
	if err := wire.DRPCRegisterAgent(m, &agent{s}); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
	}
	if err := wire.DRPCRegisterChunks(m, &chunks{s}); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
	}
	if err := wire.DRPCRegisterPeer(m, &peer{s}); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, "drpc", err)
	}
	if s.tls != nil {
		l = tls.NewListener(l, &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.tls(), nil }})
	}
	return drpcserver.New(s.guard.RPC(m)).Serve(c, l)
}

type agent struct{ *Server }

// Run runs one call through the pipe and streams its response.
func (a *agent) Run(w *wire.Call, p wire.DRPCAgent_RunStream) error {
	a.clock.Observe(w.Stamp)
	k := &sink{stream: p, attempt: w.Attempt, clock: a.clock}
	if a.stage == nil {
		return k.fail(bulrushlug.Errorf(bulrushlug.KindUnplaceable, "this process is not an agent"))
	}
	c := p.Context()
	if w.DeadlineMs > 0 {
		var stop context.CancelFunc
		c, stop = context.WithTimeout(c, time.Duration(w.DeadlineMs)*time.Millisecond)
		defer stop()
	}
	b, cancel := context.WithCancel(c)
	go k.keepAlive(b)
	err := a.stage.Run(c, codec.DecodeCall(w), k)
	cancel()
	if err != nil {
		return k.fail(err)
	}
	return k.end()
}

type chunks struct{ *Server }

var errNoDataFolder = bulrushlug.Errorf(bulrushlug.KindStorage, "this process has no data folder")

// Put stores a chunk; it returns once the chunk is synced to disk.
func (v *chunks) Put(_ context.Context, w *wire.Chunk) (*wire.Done, error) {
	if v.disk == nil {
		return nil, errNoDataFolder
	}
	return &wire.Done{}, v.disk.Put(w.File, w.Index, w.Data)
}

// Get returns a chunk.
func (v *chunks) Get(_ context.Context, w *wire.ChunkRef) (*wire.Chunk, error) {
	if v.disk == nil {
		return nil, errNoDataFolder
	}
	b, err := v.disk.Get(w.File, w.Index)
	return &wire.Chunk{File: w.File, Index: w.Index, Data: b}, err
}

// Drop removes a chunk.
func (v *chunks) Drop(_ context.Context, w *wire.ChunkRef) (*wire.Done, error) {
	if v.disk == nil {
		return nil, errNoDataFolder
	}
	return &wire.Done{}, v.disk.Drop(w.File, w.Index)
}

type peer struct{ *Server }

// Pull returns the whole configuration, or only its revision if that is not newer than the caller's.
func (p *peer) Pull(_ context.Context, w *wire.PullRequest) (*wire.PullReply, error) {
	f := p.source.Config()
	r := &wire.PullReply{Revision: f.Revision()}
	if f.Revision() > w.After {
		r.Changes = codec.EncodeChanges(f.Entities())
	}
	return r, nil
}

// History returns the newest events that match w, oldest first.
func (p *peer) History(_ context.Context, w *wire.EventsRequest) (*wire.Events, error) {
	n := int(w.Limit)
	if n <= 0 || n > maxEvents {
		n = maxEvents
	}
	r := &wire.Events{}
	for _, e := range p.events.Select(n, func(e bulrushlug.Event) bool { return matches(w, e) }) {
		r.Events = append(r.Events, codec.EncodeEvent(e))
	}
	return r, nil
}

func matches(w *wire.EventsRequest, e bulrushlug.Event) bool {
	return (w.Request == "" || w.Request == e.Request()) &&
		(w.Job == "" || w.Job == e.Job()) &&
		(w.Organisation == "" || w.Organisation == e.Organisation()) &&
		(w.Vm == "" || w.Vm == e.VM())
}

// Where returns the position of this process: its revision, freshness and role.
func (p *peer) Where(context.Context, *wire.PositionRequest) (*wire.Position, error) {
	return p.position(), nil
}
