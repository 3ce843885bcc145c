package bulrushlug

import "time"

// ServerEnd is the end of a backend server; values are immutable.
type ServerEnd struct {
	server uint64        // Hash of the server's identifier and start time.
	age    time.Duration // Time since the end.
}

// NewServerEnd returns the end of the given server, d ago.
func NewServerEnd(server uint64, d time.Duration) ServerEnd { return ServerEnd{server: server, age: d} }

// Server returns the hash of the server's identifier and start time.
func (x ServerEnd) Server() uint64 { return x.server }

// Age returns the time since the end.
func (x ServerEnd) Age() time.Duration { return x.age }
