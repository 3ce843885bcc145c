package proxy

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/slots"
)

// replacement looks for a place at another server while the server of an attempt does not answer.
type replacement struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool // The attempt has ended.
	place *place
}

// place is a slot that was taken for a request.
type place struct {
	slot *slots.Reservation
	vms  []string // VMs of the processes that run batch items at its server.
}

// seekReplacement takes a place at a server other than that of l after responseTimeout, or a multiple of it if none has
// capacity, and then calls stop.
func (a *exchange) seekReplacement(l *slots.Reservation, stop func()) *replacement {
	skip := maps.Clone(a.skip)
	skip[l.Backend().ID()] = true
	r := &replacement{}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(responseTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.ended {
			return
		}
		l, vms := a.table.AcquireOnline(a.service, skip)
		if l == nil {
			r.timer.Reset(responseTimeout)
			return
		}
		r.place = &place{slot: l, vms: vms}
		stop()
	})
	return r
}

// end ends the search and returns the place that was taken, or nil.
func (r *replacement) end() *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.timer.Stop()
	return r.place
}

// acquire returns the place that was taken for the next attempt, or takes one; it fails if no server has capacity.
func (a *exchange) acquire(c context.Context) (*place, error) {
	if p := a.next; p != nil {
		a.next = nil
		return p, nil
	}
	p, err := a.wait(c)
	switch {
	case p != nil:
		return p, nil
	case c.Err() != nil:
		return nil, cmp.Or(err, c.Err())
	case err != nil && a.possibleRuns == 0 && a.shares.Exceeds(a.request.Organisation()):
		return nil, err
	}
	l, vms := a.table.AcquireOnline(a.service, a.skip)
	if l == nil {
		if err == nil {
			err = bulrushlug.Errorf(bulrushlug.KindOverloaded, "no server of service %s has capacity: %d available, %d tried", a.service, a.table.Available(a.service), len(a.skip)).WithRetryAfter(retryAfter)
		}
		return nil, err
	}
	return &place{slot: l, vms: vms}, nil
}

// wait takes a place at a server that is neither avoided nor leaving, once it is the request's turn; there is none if no such
// server is known, if it would come too late, or if the stage has no queue. It takes none once c has ended.
func (a *exchange) wait(c context.Context) (p *place, err error) {
	if err := c.Err(); err != nil {
		return nil, err
	}
	if a.queue == nil || !a.table.HasReady(a.service, a.skip) {
		return nil, nil
	}
	r := a.request
	t := r.TargetRoute()
	w := bulrushlug.NewWaiter(a.service, r.Organisation(), float64(r.Prompt().Tokens()+r.Prompt().MaxTokens())).
		WithUrgency(t.Priority(), r.Deadline(), patience(t.FirstByteTarget())).WithNarrow(len(a.skip) > 0)
	err = a.queue.Wait(c, w, func(idle bool) bool {
		l, vms := a.table.AcquireReady(a.service, a.skip, idle)
		if l == nil {
			return false
		}
		p = &place{slot: l, vms: vms}
		return true
	})
	return p, err
}

// patience returns how long a request may wait for a place if its first event is due after d: the rest is the server's.
func patience(d time.Duration) time.Duration {
	if d == 0 {
		d = defaultTarget
	}
	return time.Duration(patienceShare * float64(d))
}

// releaseNext frees a place that no attempt used.
func (a *exchange) releaseNext() {
	if a.next != nil {
		a.next.slot.Release()
	}
}
