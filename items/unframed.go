package items

import (
	"context"
	"errors"
	"io"

	"bulrushlug.dev/bulrushlug"
)

// maxEmptyRuns is the number of runs without a response, or from the first event, that show the end of a text.
const maxEmptyRuns = 3

var (
	// errUnframed ends a run whose response brought events and isn't framed: its end may be that of its server.
	errUnframed = errors.New("the response does not say where it ends")
	// errSequence ends a run whose events don't follow those that are known.
	errSequence = errors.New("events are out of sequence")
)

// checkEnd fails if the end of a response of b that isn't framed, after n events, may not be the end of the text. Only a run that
// resumes after the last event shows that: it brings no event, and its server goes on.
func (r *Runner) checkEnd(c context.Context, h *shard, x *item, b bulrushlug.Backend, n int) error {
	if n > 0 {
		h.mu.Lock()
		x.unframed = true
		h.mu.Unlock()
		return bulrushlug.WrapError(bulrushlug.KindBroken, b.ID(), errUnframed)
	}
	if r.detector.RecordEnded(c, b) {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "%s ended before the first event", b.ID())
	}
	return nil
}

// endsWithoutResponse tells the detector of a run of x at b that ended with err instead of a response, and reports whether it shows
// that the text is complete: some servers close the connection if there is nothing to resume.
func (r *Runner) endsWithoutResponse(c context.Context, h *shard, x *item, b bulrushlug.Backend, q *bulrushlug.Request, err error) bool {
	if c.Err() != nil || bulrushlug.KindOf(err) != bulrushlug.KindUncertain {
		return false
	}
	ended := r.detector.RecordBroken(c, b, q.Prompt())
	return !ended && errors.Is(err, io.ErrUnexpectedEOF) && h.confirmEnd(x)
}

// endsFromStart tells the detector of a run of x at b that ended with err after n events, and reports whether it shows that the text is
// complete: some servers begin again if there is nothing to resume.
func (r *Runner) endsFromStart(c context.Context, h *shard, x *item, b bulrushlug.Backend, q *bulrushlug.Request, n int, err error) bool {
	switch {
	case c.Err() != nil:
	case n < begunEvents:
		ended := r.detector.RecordBroken(c, b, q.Prompt())
		return !ended && errors.Is(err, errSequence) && h.confirmEnd(x)
	case !errors.Is(err, bulrushlug.ErrOversized):
		r.detector.RecordEnded(c, b)
	}
	return false
}

// confirmEnd notes a run of x that a server which goes on ended without an event to add, and reports whether there were enough of
// them to take the text for complete. Only after a response that isn't framed they say so.
func (s *shard) confirmEnd(x *item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !x.unframed {
		return false
	}
	x.emptyRuns++
	return x.emptyRuns >= maxEmptyRuns
}
