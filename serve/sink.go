package serve

import (
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

// sink sends an answer as the pieces of a drpc stream.
type sink struct {
	stream  wire.DRPCAgent_RunStream
	attempt uint32 // Attempt of the call; stands in every piece.
	clock   *clock.Clock
}

func (s *sink) send(p *wire.Piece) error {
	p.Attempt, p.Stamp = s.attempt, s.clock.Now()
	return s.stream.Send(p)
}

// Head sends status and content type.
func (s *sink) Head(n int, t string) error {
	return s.send(&wire.Piece{Status: uint32(n), ContentType: t})
}

// Write sends data.
func (s *sink) Write(p []byte) error { return s.send(&wire.Piece{Data: p}) }

func (s *sink) end() error { return s.send(&wire.Piece{Last: true}) }

func (s *sink) fail(err error) error { return s.send(&wire.Piece{Problem: codec.EncodeProblem(err)}) }
