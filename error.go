package bulrushlug

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// ErrOversized is wrapped by the error of a response that has more bytes than its request can call for, or than its process
// can hold: its server may go on without end.
var ErrOversized = errors.New("more bytes than a response may have")

// Error is an error with a kind, which decides how it is reported to the caller.
type Error struct {
	kind       Kind          // One of Kinds.
	err        error         // Cause; never nil.
	retryAfter time.Duration // Delay after which a retry can succeed; zero if unknown.
}

// Errorf returns an error of kind k with a formatted message.
func Errorf(k Kind, f string, a ...any) *Error {
	return &Error{kind: k, err: errs.New(f, a...)}
}

// WrapError wraps err in an error of kind k and prefixes the message with the path or key p.
func WrapError(k Kind, p string, err error) *Error {
	return &Error{kind: k, err: errs.Wrap(fmt.Errorf("%s: %w", p, err))}
}

// WithRetryAfter returns a copy of f that tells the caller to retry after d.
func (f *Error) WithRetryAfter(d time.Duration) *Error {
	g := *f
	g.retryAfter = d
	return &g
}

// Error returns the message.
func (f *Error) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Error) Unwrap() error { return f.err }

// Kind returns the kind.
func (f *Error) Kind() Kind { return f.kind }

// RetryAfter returns the delay after which a retry can succeed; zero if unknown.
func (f *Error) RetryAfter() time.Duration { return f.retryAfter }

// KindOf returns the kind of err: that of a wrapped Error, KindTimeout or KindCancelled for context errors, and
// KindInternal otherwise.
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

// RetryAfterOf returns the retry delay of err; zero if unknown.
func RetryAfterOf(err error) time.Duration {
	var f *Error
	if errors.As(err, &f) {
		return f.retryAfter
	}
	return 0
}
