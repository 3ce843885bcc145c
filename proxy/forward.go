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
func (a *exchange) forward(p bulrushlug.Reply, w *watchdog) (int, error) {
	if isEventStream(p) {
		return a.forwardEvents(p, w)
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
func (a *exchange) forwardEvents(p bulrushlug.Reply, w *watchdog) (n int, err error) {
	r := stream.New(p, a.memory)
	defer r.Close()
	defer func() { err = cmp.Or(err, a.sink.flush()) }()
	for {
		w.start(a.mayRetry() && a.canResume(), n > 0)
		e, err := a.nextEvent(r, w)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return n, brokenError(err)
		}
		if err := a.checkSequence(r, n, ended); err != nil {
			return n, err
		}
		if err := a.sink.head(p); err != nil {
			return n, err
		}
		if err := a.sink.pass(e, r.Buffered()); err != nil || ended {
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
		if id, ok := r.ID(); ok {
			a.request.SkipEvents(id)
			a.sink.resumable = true
		}
	}
}

// checkSequence fails if the last event of r does not follow the last one that the caller has, or if the stream ended
// without any event; a resumed one may have ended before.
func (a *exchange) checkSequence(r *stream.Reader, n int, ended bool) error {
	last := a.request.ResumeFrom()
	if ended {
		if n == 0 && last == 0 {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "the stream ended without an event")
		}
		return nil
	}
	if id, _ := r.ID(); r.Identified() && id != last+1 {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "event %d follows event %d", id, last)
	}
	return nil
}

// nextEvent reads the next event with data, and returns it behind the events without any that came before it. These are
// no progress: a server that sends only comments has stalled.
func (a *exchange) nextEvent(r *stream.Reader, w *watchdog) (b []byte, err error) {
	defer w.stop()
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
		case a.sink.headSent:
			if err := a.sink.write(b); err != nil {
				return nil, err
			}
			b = b[:0]
		}
	}
}

// forwardBody copies a response once it is complete, so that another one can take its place until then; one that is too
// large to be held is copied as it arrives.
func (a *exchange) forwardBody(p bulrushlug.Reply) error {
	b := buffer{memory: a.memory}
	defer b.release()
	whole, err := b.fill(p)
	if err != nil {
		return brokenError(err)
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
