package proxy

import (
	"context"
	"sync"

	"bulrushlug.dev/bulrushlug/slots"
)

// relief lets another server go on for one that is silent. Until the other one has answered, the silent one may go on itself, so
// silence alone ends no response.
type relief struct {
	exchange *exchange
	context  context.Context    // Of the request.
	slot     *slots.Reservation // At the silent server.
	stop     func()             // Ends the attempt there.

	mu       sync.Mutex
	armed    bool    // The attempt waits for its server.
	runsLeft int     // Further runs that are allowed; negative for any number.
	search   *search // Nil while there is none.
}

func (a *exchange) newRelief(c context.Context, l *slots.Reservation, stop func()) *relief {
	return &relief{exchange: a, context: c, slot: l, stop: stop}
}

// arm begins a wait for the server, in which n further runs are allowed, or any number if n is negative. Until disarm, the
// exchange is only read.
func (r *relief) arm(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed, r.runsLeft = n != 0, n
}

// start looks for another server, if the wait goes on.
func (r *relief) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.armed || r.search != nil {
		return
	}
	r.search = newSearch(r)
	go r.exchange.protect(r.search.run)
}

// disarm ends the wait. It returns the place of the server that goes on with the response, or nil.
func (r *relief) disarm() *place {
	r.mu.Lock()
	r.armed = false
	s := r.search
	r.search = nil
	r.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.end()
}
