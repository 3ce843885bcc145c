package rpcsrv

import (
	"context"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// sink sends an answer as the pieces of a drpc stream.
type sink struct {
	stream  wire.DRPCAgent_RunStream
	attempt uint32 // Attempt of the call; stands in every piece.
	clock   *clock.Clock
	mu      sync.Mutex // Orders the pieces.
	sent    time.Time  // When the last piece was sent.
}

func (s *sink) send(p *wire.Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Attempt, p.Stamp = s.attempt, s.clock.Now()
	s.sent = time.Now()
	return s.stream.Send(p)
}

// beatInterval is the longest time between two pieces.
const beatInterval = time.Second

// beat sends empty pieces until c ends, so that the caller can tell a slow agent from a lost one.
func (s *sink) beat(c context.Context) {
	for bulrushlug.Sleep(c, beatInterval) == nil {
		s.mu.Lock()
		quiet := time.Since(s.sent) >= beatInterval
		s.mu.Unlock()
		if quiet && s.send(&wire.Piece{}) != nil {
			return
		}
	}
}

// Head sends status and content type.
func (s *sink) Head(n int, t string) error {
	return s.send(&wire.Piece{Status: uint32(n), ContentType: t})
}

// Write sends data.
func (s *sink) Write(p []byte) error { return s.send(&wire.Piece{Data: p}) }

func (s *sink) end() error { return s.send(&wire.Piece{Last: true}) }

func (s *sink) fail(err error) error { return s.send(&wire.Piece{Problem: codec.EncodeProblem(err)}) }
