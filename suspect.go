package bulrushlug

import (
	"context"
	"time"
)

// Crash is a backend server that ended as it began to respond to a request; values are immutable.
type Crash struct {
	server  uint64        // Hash of the server's identifier and start time.
	address uint64        // Hash of the server's address.
	request uint64        // Hash of the last part of the request's prompt.
	others  uint32        // Servers that ended at the same time without the part.
	age     time.Duration // Time since the crash.
}

// NewCrash returns a crash of the given server at the given address by the given request, d ago, beside which that many
// others ended without the part.
func NewCrash(server, address, request uint64, others uint32, d time.Duration) Crash {
	return Crash{server: server, address: address, request: request, others: others, age: d}
}

// Server returns the hash of the server's identifier and start time.
func (x Crash) Server() uint64 { return x.server }

// Address returns the hash of the server's address.
func (x Crash) Address() uint64 { return x.address }

// Others returns the number of servers that ended at the same time without the part, as far as the sender knows.
func (x Crash) Others() uint32 { return x.others }

// Request returns the hash of the last part of the request's prompt.
func (x Crash) Request() uint64 { return x.request }

// Age returns the time since the crash.
func (x Crash) Age() time.Duration { return x.age }

// Suspect is what a process knows of a part of prompts with which backend servers ended; values are immutable.
type Suspect struct {
	scope   uint64 // Scope of the prompts.
	part    uint64
	own     bool          // The part is the last one, which belongs to a single request or session.
	crashes []Crash       // Crashes since the last success.
	success time.Duration // Time since a response to a prompt with the part began at the process; negative if none is known.
	tested  time.Duration // Time since the last test of the process; negative if there was none.
}

// NewSuspect returns what is known of a part of prompts in the given scope; own means that it is the last one. The success
// is d ago, and negative means that none is known.
func NewSuspect(scope, part uint64, own bool, l []Crash, d time.Duration) Suspect {
	return Suspect{scope: scope, part: part, own: own, crashes: l, success: d, tested: -1}
}

// Scope returns the scope of the prompts.
func (s Suspect) Scope() uint64 { return s.scope }

// Part returns the hash of the part.
func (s Suspect) Part() uint64 { return s.part }

// Own reports whether the part is the last one, which belongs to a single request or session.
func (s Suspect) Own() bool { return s.own }

// Crashes returns the crashes since the last success.
func (s Suspect) Crashes() []Crash { return s.crashes }

// Success returns the time since the last response to a prompt with the part began at the process, and false if none is
// known.
func (s Suspect) Success() (time.Duration, bool) { return s.success, s.success >= 0 }

// WithTest returns a copy of which a test is known, a request with the part that the process let through d ago.
func (s Suspect) WithTest(d time.Duration) Suspect {
	s.tested = d
	return s
}

// Tested returns the time since the last test of the process, and false if there was none.
func (s Suspect) Tested() (time.Duration, bool) { return s.tested, s.tested >= 0 }

// PoisonDetector finds parts of prompts on which backend servers end, and keeps requests with them from further ones.
type PoisonDetector interface {
	// Check fails with KindQuarantined if requests with the prompt p must not be sent to a server.
	Check(p Prompt) error
	// RecordBegun records that a server began to respond to the prompt p and did not end.
	RecordBegun(p Prompt)
	// RecordBroken records that the connection to b broke before a response to the prompt p had begun. It reports whether b
	// ended.
	RecordBroken(c context.Context, b Backend, p Prompt) bool
	// RecordEnded records that the connection to b broke after a response had begun. It reports whether b ended.
	RecordEnded(c context.Context, b Backend) bool
}
