package proxy

import (
	"runtime"

	"bulrushlug.dev/bulrushlug"
)

// sink forwards the parts of several responses to the caller as one response.
type sink struct {
	sink       bulrushlug.Sink
	headSent   bool // The head was forwarded.
	callerGone bool // The caller accepts no more data.
	resumable  bool // A forwarded event had an identifier, after which the stream can resume.

	held []byte // Whole events that are passed on with the next ones, at most maxHeld bytes.
}

// head forwards the head of p, unless that of an earlier response was forwarded.
func (s *sink) head(p bulrushlug.Reply) error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	var err error
	if f, ok := s.sink.(bulrushlug.FieldSink); ok {
		err = f.HeadFields(p.Status(), p.Fields())
	} else {
		err = s.sink.Head(p.Status(), bulrushlug.FieldValue(p.Fields(), "Content-Type"))
	}
	s.callerGone = err != nil
	return err
}

// write passes on what is held, and p. After events that arrived together others get the processor, as more may be there: a
// stream that never waits would keep it until it is preempted.
func (s *sink) write(p []byte) error {
	if len(s.held) > 0 {
		s.held = append(s.held, p...)
		p, s.held = s.held, s.held[:0]
		defer runtime.Gosched()
	}
	if len(p) == 0 {
		return nil
	}
	err := s.sink.Write(p)
	s.callerGone = err != nil
	return err
}

// pass passes p on, or holds it if more is there to be passed on at once.
func (s *sink) pass(p []byte, more bool) error {
	if !more || len(s.held)+len(p) > maxHeld {
		return s.write(p)
	}
	s.held = append(s.held, p...)
	return nil
}

// flush passes on what is held, unless the caller accepts no more data.
func (s *sink) flush() error {
	if s.callerGone {
		return nil
	}
	return s.write(nil)
}
