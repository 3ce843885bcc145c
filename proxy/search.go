package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
	"bulrushlug.dev/bulrushlug/stream"
)

// searchInterval is the time between two looks for a server that has capacity.
const searchInterval = responseTimeout

// place is a slot that was taken for a request.
type place struct {
	slot    *slots.Reservation
	vms     []string // VMs of the processes that run batch items at its server.
	started *started // What the server has answered already; nil if the request was not sent.
}

// release gives up a place that no attempt used.
func (p *place) release() {
	if p.started != nil {
		p.started.close()
	}
	p.slot.Release()
}

// started is a response that has begun.
type started struct {
	bulrushlug.Reply
	context context.Context // Of the call.
	stop    func()          // Ends the call.
	events  *stream.Reader  // Nil if the response is no stream.
	event   []byte          // First event, which was read already; empty if there was none.
	err     error           // Error with which it was read.
}

func (s *started) close() {
	if s.events != nil {
		s.events.Close()
	}
	s.Reply.Close()
	s.stop()
}

// search sends a request to other servers, one after the other, until one of them answers.
type search struct {
	relief   *relief
	context  context.Context
	stop     context.CancelFunc
	request  *bulrushlug.Request
	skip     map[string]bool // Servers that are not tried; used by run alone until it has ended.
	runsLeft int             // Runs that are allowed; negative for any number.
	headSent bool            // The caller has the head of an earlier response.

	mu    sync.Mutex
	ended bool
	runs  int    // Runs that may have begun.
	place *place // Of the server that has answered.
}

// newSearch returns a search for a server other than that of r, whose exchange waits.
func newSearch(r *relief) *search {
	a := r.exchange
	s := &search{relief: r, request: a.request.Clone(), skip: maps.Clone(a.skip), runsLeft: r.runsLeft, headSent: a.sink.headSent}
	s.context, s.stop = context.WithCancel(r.context)
	s.skip[r.slot.Backend().ID()] = true
	return s
}

// run tries servers until one has answered, no run is left, or the search has ended. It rests where none has capacity, and after
// each maxServers of them.
func (s *search) run() {
	a := s.relief.exchange
	for tried := 0; ; {
		var l *slots.Reservation
		var vms []string
		if tried < maxServers && a.detector.Check(s.request.Prompt()) == nil {
			l, vms = a.table.AcquireOnline(a.service, s.skip)
		}
		if l == nil {
			tried = 0
			if bulrushlug.Sleep(s.context, searchInterval) != nil {
				return
			}
			continue
		}
		if !s.beginRun() {
			l.Release()
			return
		}
		tried++
		a.notify(vms)
		if s.useIfAnswered(&place{slot: l, vms: vms}) {
			s.relief.stop()
			return
		}
		s.skip[l.Backend().ID()] = true
	}
}

// useIfAnswered hands p over if its server answers, and releases it otherwise.
func (s *search) useIfAnswered(p *place) (used bool) {
	defer func() {
		if !used {
			p.release()
		}
	}()
	return s.try(p) && s.take(p)
}

// beginRun counts a run, unless none is left or the search has ended.
func (s *search) beginRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.runsLeft >= 0 && s.runs >= s.runsLeft {
		return false
	}
	s.runs++
	return true
}

// notRun takes the last run back.
func (s *search) notRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs--
}

// take hands p over, unless the search has ended.
func (s *search) take(p *place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.place = p
	return true
}

// try sends the request to the server of p, and reports whether it answers with what the caller needs.
func (s *search) try(p *place) bool {
	a, l := s.relief.exchange, p.slot
	c, stop := context.WithCancel(s.relief.context)
	release := context.AfterFunc(s.context, stop) // Until the response is handed over.
	defer release()
	r, err := a.client.Call(c, l.Backend(), s.request)
	if err != nil {
		stop()
		if !recordCall(s.context, l, err) {
			s.notRun()
		}
		if s.context.Err() == nil {
			a.record("callFailed", s.request, l.Backend(), err)
			if bulrushlug.KindOf(err) == bulrushlug.KindUncertain {
				a.detector.RecordBroken(c, l.Backend(), s.request.Prompt())
			}
		}
		return false
	}
	p.started = &started{Reply: r, context: c, stop: stop}
	if !isEventStream(r) {
		return !s.headSent && r.Status() < statusServerError
	}
	p.started.events = stream.New(r, a.memory)
	w := newWatchdog(a.request.TargetRoute().EventGapTarget(), func() {
		l.RecordFailure()
		stop()
	})
	w.start(false)
	e, err := readEvent(p.started.events, nil)
	w.stop()
	p.started.event, p.started.err = e, err
	if err == nil {
		err = checkSequence(p.started.events, s.request.ResumeFrom())
	} else if errors.Is(err, io.EOF) && s.request.ResumeFrom() > 0 {
		err = nil // The stream had ended after the last event.
	}
	if err != nil && s.context.Err() == nil {
		a.recordBroken(s.request, l.Backend(), 0, err)
	}
	return err == nil
}

// end ends the search, adds what it found to the exchange, and returns the place of the server that has answered, or nil.
func (s *search) end() *place {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.stop()
	s.relief.exchange.possibleRuns += s.runs
	if s.place != nil {
		maps.Copy(s.relief.exchange.skip, s.skip)
	}
	return s.place
}
