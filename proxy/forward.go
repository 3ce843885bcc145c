package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"strings"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/stream"
)

const (
	maxCommentBytes = 64 << 10            // Bytes of comments before the first event of a response; they are held until it comes.
	eventStream     = "text/event-stream" // Media type of server-sent events.
)

// forward copies the response p to the caller and returns the number of events.
func (a *exchange) forward(p *started, r *relief, w *watchdog) (int, error) {
	if isEventStream(p) {
		return a.forwardEvents(p, r, w)
	}
	return 0, a.forwardBody(p)
}

// isEventStream reports whether p is a stream of server-sent events.
func isEventStream(p bulrushlug.Reply) bool {
	return p.Status() == statusOK && strings.HasPrefix(bulrushlug.FieldValue(p.Fields(), "Content-Type"), eventStream)
}

// forwardEvents copies whole events as they arrive, so that a broken stream can resume between events. Events that arrive
// together are passed on together.
//
// Load pattern: many streams whose servers send small events faster than they can be passed on one by one. Each event by
// itself would cost a system call, and the requests of others would wait for the processor.
func (a *exchange) forwardEvents(p *started, r *relief, w *watchdog) (n int, err error) {
	if p.events == nil {
		p.events = stream.New(p, a.memory)
	}
	defer func() { err = cmp.Or(err, a.sink.flush()) }()
	for {
		e, err := a.nextEvent(p, r, w, n > 0)
		if a.next != nil {
			return n, errNoResponse
		}
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return n, brokenError(err)
		}
		last := a.request.ResumeFrom()
		if ended {
			err = a.checkEnd(p, n, last)
		} else {
			err = checkSequence(p.events, last)
		}
		if err != nil {
			return n, err
		}
		if err := a.sink.head(p); err != nil {
			return n, err
		}
		if err := a.sink.pass(e, p.events.Buffered()); err != nil || ended {
			return n, err
		}
		if a.monitor != nil && a.slot != nil {
			a.monitor.Hear(a.slot.Backend().ID())
		}
		if n == 0 && a.slot != nil {
			a.slot.RecordFirst()
		}
		if n++; n == begunEvents {
			a.detector.RecordBegun(a.request.Prompt())
		}
		if id, ok := p.events.ID(); ok {
			a.request.SkipEvents(id)
			a.sink.resumable = true
		}
	}
}

// checkEnd fails if stream p ended after n events, and the caller has none, or if its server has ended; a resumed one may have ended
// before.
func (a *exchange) checkEnd(p *started, n int, last uint64) error {
	if n == 0 && last == 0 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "the stream ended without an event")
	}
	return a.checkServer(p)
}

// checkServer fails if the end of p is that of its server, and another one may answer in its place or go on.
func (a *exchange) checkServer(p *started) error {
	if p.Framed() || a.slot == nil || !a.mayRetry() || !a.canResume() || !a.detector.RecordEnded(p.context, a.slot.Backend()) {
		return nil
	}
	return bulrushlug.Errorf(bulrushlug.KindBroken, "%s ended, and its response does not say where it ends", a.slot.Backend().ID())
}

// checkSequence fails if the last event of r does not follow event last.
func checkSequence(r *stream.Reader, last uint64) error {
	if id, _ := r.ID(); r.Identified() && id != last+1 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d follows event %d", id, last)
	}
	return nil
}

// nextEvent returns the next event of p, or sets a.next to the place of a server that goes on for that of p, as it is silent.
// begun says that the event is not the first one.
func (a *exchange) nextEvent(p *started, r *relief, w *watchdog, begun bool) ([]byte, error) {
	if e, err := p.event, p.err; len(e) > 0 || err != nil {
		p.event, p.err = nil, nil
		return e, err
	}
	if a.mayRetry() && a.canResume() {
		r.arm(a.runsLeft())
	}
	w.start(begun)
	pass := a.sink.write
	if !a.sink.headSent {
		pass = nil
	}
	e, err := readEvent(p.events, pass)
	w.stop()
	a.next = r.disarm()
	return e, err
}

// readEvent reads the next event with data, and returns it behind the events without any that came before it, unless f passes
// these on. They are no progress: a server that sends only comments has stalled.
func readEvent(r *stream.Reader, f func(b []byte) error) (b []byte, err error) {
	for {
		e, err := r.Next()
		if err == nil && r.Progress() && len(b) == 0 {
			return e, nil
		}
		b = append(b, e...)
		switch {
		case err != nil || r.Progress():
			return b, err
		case len(b) > maxCommentBytes:
			return nil, bulrushlug.WrapError(bulrushlug.KindBroken, fmt.Sprintf("%d bytes without an event", len(b)), bulrushlug.ErrOversized)
		case f != nil:
			if err := f(b); err != nil {
				return nil, err
			}
			b = b[:0]
		}
	}
}

// forwardBody copies a response once it is complete, so that another one can take its place until then; one that is too
// large to be held is copied as it arrives.
func (a *exchange) forwardBody(p *started) error {
	b := buffer{memory: a.memory}
	defer b.release()
	whole, err := b.fill(p)
	if err != nil {
		return brokenError(err)
	}
	if whole {
		if err := a.checkServer(p); err != nil {
			return err
		}
	}
	if err := a.sink.head(p); err != nil {
		return err
	}
	if err := b.copyTo(a.sink); err != nil || whole {
		return err
	}
	b.release()
	return a.copyBody(p)
}

// copyBody copies the rest of a response.
func (a *exchange) copyBody(p bulrushlug.Reply) error {
	q := make([]byte, readSize)
	for {
		n, err := p.Read(q)
		if err := a.sink.write(q[:n]); err != nil {
			return err
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return brokenError(err)
		}
	}
}

func brokenError(err error) error {
	if bulrushlug.KindOf(err) == bulrushlug.KindInternal {
		return bulrushlug.WrapError(bulrushlug.KindBroken, "the response is incomplete", err)
	}
	return err
}
