// Package relay is the last stage of an entry's pipe: it sends requests to agents, and retries them if that is safe.
package relay

import (
	"context"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/fleet"
	"bulrushlug.dev/bulrushlug/memory"
)

// Stage dispatches a request to its candidates in order, within a retry budget.
type Stage struct {
	dispatcher bulrushlug.Dispatcher
	fleet      *fleet.Fleet
	budget     *budget
	recorder   bulrushlug.Recorder
	memory     *memory.Budget // For what all responses hold.
}

// responseMemory is the number of bytes that all buffered responses hold together.
const responseMemory = 24 << 20

// New returns a stage that sends requests with d and reports outcomes to f and e.
func New(d bulrushlug.Dispatcher, f *fleet.Fleet, e bulrushlug.Recorder) *Stage {
	return &Stage{dispatcher: d, fleet: f, budget: newBudget(), recorder: e, memory: memory.New(responseMemory)}
}

// Run tries the candidates of r until one responds; a request that may have run is retried only if it is idempotent and
// nothing of its response was sent to the caller.
func (g *Stage) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	g.budget.deposit()
	h := newBufferedResponse(s, !r.Stream(), g.memory)
	defer h.discard()
	var err error
	ran := false // An attempt before the last one may have run the request.
	for i, d := range r.Candidates() {
		if i > 0 {
			if !mayRetry(r, h, err) || c.Err() != nil || !g.budget.tryWithdraw() {
				break
			}
			ran = ran || bulrushlug.KindOf(err).Response().MayHaveRun()
			r.NextAttempt()
			h.reset()
		}
		if err = g.try(c, d, r, h); err == nil {
			return h.flush()
		}
	}
	if ran && !bulrushlug.KindOf(err).Response().MayHaveRun() {
		return bulrushlug.WrapError(bulrushlug.KindUncertain, "an earlier attempt may have run the request", err)
	}
	return err
}

// try sends r to d and records the outcome.
func (g *Stage) try(c context.Context, d bulrushlug.Candidate, r *bulrushlug.Request, h *bufferedResponse) error {
	if !r.Batch() {
		g.recorder.Record(bulrushlug.NewEvent("dispatch", bulrushlug.ForRequest(r), bulrushlug.WithDetail(d.VM())))
	}
	t := time.Now()
	g.fleet.Begin(d.VM())
	defer g.fleet.End(d.VM())
	h.onHead(func() { g.fleet.ObserveLatency(d.VM(), time.Since(t)) })
	err := g.dispatcher.Dispatch(c, d, r, h)
	if err == nil {
		return nil
	}
	k := bulrushlug.KindOf(err)
	if isServerFailure(k) {
		g.fleet.RecordFailure(d.VM())
	}
	g.recorder.Record(bulrushlug.NewEvent("dispatchFailed", bulrushlug.ForRequest(r),
		bulrushlug.WithDetail(d.VM()+": "+k.String()+": "+err.Error())))
	return err
}

// isServerFailure reports whether kind k counts as a failure of the backend server.
func isServerFailure(k bulrushlug.Kind) bool {
	switch k {
	case bulrushlug.KindUnplaceable, bulrushlug.KindUncertain, bulrushlug.KindBroken, bulrushlug.KindLeaving:
		return true
	}
	return false
}

// mayRetry reports whether r may be sent to another candidate after err.
func mayRetry(r *bulrushlug.Request, h *bufferedResponse, err error) bool {
	if h.headWritten {
		return false
	}
	switch k := bulrushlug.KindOf(err); k {
	case bulrushlug.KindUnplaceable, bulrushlug.KindOverloaded, bulrushlug.KindLeaving:
		return true
	case bulrushlug.KindUncertain, bulrushlug.KindBroken:
		return r.Idempotent()
	}
	return false
}
