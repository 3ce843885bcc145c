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

// sink sends a response as messages of a drpc stream.
type sink struct {
	stream  wire.DRPCAgent_RunStream
	attempt uint32 // Attempt of the call, copied into every message.
	clock   *clock.Clock
	mu      sync.Mutex // Serialises sending.
	sentAt  time.Time  // When the last message was sent.
}

func (s *sink) send(p *wire.Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Attempt, p.Stamp = s.attempt, s.clock.Now()
	s.sentAt = time.Now()
	return s.stream.Send(p)
}

// keepAliveInterval is the time without a message after which an empty one is sent.
const keepAliveInterval = time.Second

// keepAlive sends empty messages until c ends, so that the caller can tell a slow agent from a failed one.
func (s *sink) keepAlive(c context.Context) {
	for bulrushlug.Sleep(c, keepAliveInterval) == nil {
		s.mu.Lock()
		due := time.Since(s.sentAt) >= keepAliveInterval
		s.mu.Unlock()
		if due && s.send(&wire.Piece{}) != nil {
			return
		}
	}
}

// Head sends the status n and the content type t.
func (s *sink) Head(n int, t string) error {
	return s.send(&wire.Piece{Status: uint32(n), ContentType: []byte(t)})
}

// Write sends p.
func (s *sink) Write(p []byte) error { return s.send(&wire.Piece{Data: p}) }

func (s *sink) end() error { return s.send(&wire.Piece{Last: true}) }

func (s *sink) fail(err error) error { return s.send(&wire.Piece{Problem: codec.EncodeError(err)}) }
