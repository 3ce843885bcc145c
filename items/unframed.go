package items

import (
	"context"
	"errors"

	"bulrushlug.dev/bulrushlug"
)

// maxEmptyRuns is the number of runs without an answer, or with the wrong one, that show the end of a text too.
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

// confirmEnd notes that a server which goes on has closed the connection of a run of x without a response, or has begun with
// another event, and reports whether the text of x is complete. Some servers do so if there is nothing to resume.
func (s *shard) confirmEnd(x *item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !x.unframed {
		return false
	}
	x.emptyRuns++
	return x.emptyRuns >= maxEmptyRuns
}
