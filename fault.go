package bulrushlug

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Fault is an error of one kind.
type Fault struct {
	kind Kind          // One of the closed list.
	err  error         // Never nil.
	wait time.Duration // Time after which a retry can succeed; zero if unknown.
}

// NewFault returns a fault of kind k with a formatted message.
func NewFault(k Kind, f string, a ...any) *Fault {
	return &Fault{kind: k, err: errs.New(f, a...)}
}

// WrapFault returns err as a fault of kind k, prefixed with the path or key p.
func WrapFault(k Kind, p string, err error) *Fault {
	return &Fault{kind: k, err: errs.Wrap(fmt.Errorf("%s: %w", p, err))}
}

// WithWait returns a copy of f that asks the caller to wait d.
func (f *Fault) WithWait(d time.Duration) *Fault {
	g := *f
	g.wait = d
	return &g
}

// Error returns the message.
func (f *Fault) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.err }

// Kind returns the kind.
func (f *Fault) Kind() Kind { return f.kind }

// Wait returns the time after which a retry can succeed, or zero.
func (f *Fault) Wait() time.Duration { return f.wait }

// KindOf returns the kind of err; errors that are no faults are internal, but for those of contexts.
func KindOf(err error) Kind {
	var f *Fault
	switch {
	case errors.As(err, &f):
		return f.kind
	case errors.Is(err, context.DeadlineExceeded):
		return KindTimeout
	case errors.Is(err, context.Canceled):
		return KindCancelled
	}
	return KindInternal
}

// WaitOf returns the wait that err asks for, or zero.
func WaitOf(err error) time.Duration {
	var f *Fault
	if errors.As(err, &f) {
		return f.wait
	}
	return 0
}
