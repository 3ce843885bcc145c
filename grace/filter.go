// Package grace is the filter that keeps requests within the grace period of a process that leaves.
package grace

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// retryAfter is the retry delay named to callers; the load balancer sends them to another process by then.
const retryAfter = 10 * time.Millisecond

// errEnd is the cause by which requests are cancelled at the end.
var errEnd = errors.New("the grace period of the process has ended")

// Filter passes all requests on until Leave is called.
type Filter struct {
	end    atomic.Pointer[time.Time] // End of the grace period; nil before Leave.
	strict atomic.Bool               // Requests that may last beyond end are rejected.
	ended  context.Context           // Done at the end.
	stop   context.CancelFunc        // Ends it.
}

// New returns a filter of a process that is not leaving.
func New() *Filter {
	f := &Filter{}
	f.ended, f.stop = context.WithCancel(context.Background())
	return f
}

// Leave has requests that are still open at t answered then: that they may have run, or that they did not.
func (f *Filter) Leave(t time.Time) {
	f.end.Store(&t)
	time.AfterFunc(time.Until(t), f.stop)
}

// Restrict has further requests that may last beyond the end rejected as not run; it has no effect before Leave.
func (f *Filter) Restrict() { f.strict.Store(true) }

// Pass hands r on, unless it may last beyond the end.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if t := f.end.Load(); t != nil && (f.ended.Err() != nil || f.strict.Load() && (r.Deadline().IsZero() || r.Deadline().After(*t))) {
		return bulrushlug.Errorf(bulrushlug.KindLeaving, "the process ends in %v, the request may last longer", time.Until(*t)).WithRetryAfter(retryAfter)
	}
	c, cancel := context.WithCancelCause(c)
	defer cancel(nil)
	defer context.AfterFunc(f.ended, func() { cancel(errEnd) })()
	err := n.Run(c, r, s)
	if err != nil && context.Cause(c) == errEnd && bulrushlug.KindOf(err) == bulrushlug.KindCancelled {
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "request "+r.ID(), errEnd)
	}
	return err
}
