package bulrushlug

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is an error of one kind.
type Error struct {
	kind Kind          // One of the closed list.
	err  error         // Never nil.
	wait time.Duration // Time after which a retry can succeed; zero if unknown.
}

// Errorf returns a fault of kind k with a formatted message.
func Errorf(k Kind, f string, a ...any) *Error {
	return &Error{kind: k, err: errs.New(f, a...)}
}

// WrapError returns err as a fault of kind k, prefixed with the path or key p.
func WrapError(k Kind, p string, err error) *Error {
	return &Error{kind: k, err: errs.Wrap(fmt.Errorf("%s: %w", p, err))}
}

// WithWait returns a copy of f that asks the caller to wait d.
func (f *Error) WithWait(d time.Duration) *Error {
	g := *f
	g.wait = d
	return &g
}

// Error returns the message.
func (f *Error) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Error) Unwrap() error { return f.err }

// Kind returns the kind.
func (f *Error) Kind() Kind { return f.kind }

// Wait returns the time after which a retry can succeed, or zero.
func (f *Error) Wait() time.Duration { return f.wait }

// KindOf returns the kind of err; errors that are no faults are internal, but for those of contexts.
func KindOf(err error) Kind {
	var f *Error
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
	var f *Error
	if errors.As(err, &f) {
		return f.wait
	}
	return 0
}
