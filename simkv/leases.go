package simkv

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// leases is the set of active leases; a lease deletes the keys attached to it when it expires.
type leases struct {
	mu        sync.Mutex
	active    map[string]*lease
	deleteKey func(key string) // Deletes a key whose lease expired.
}

// lease is one lease; its timer restarts on each renewal.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  []string
}

// grant returns the identifier of a new lease with time to live d.
func (l *leases) grant(d time.Duration) string {
	i := uuid.NewString()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active = map[string]*lease{}
	}
	l.active[i] = &lease{ttl: d, timer: time.AfterFunc(d, func() { l.expire(i) })}
	return i
}

// renew restarts lease i and reports whether it was still active.
func (l *leases) renew(i string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.active[i]
	return ok && x.timer.Reset(x.ttl)
}

// attach attaches key k to lease i, if that is active.
func (l *leases) attach(i, k string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.active[i]; ok {
		x.keys = append(x.keys, k)
	}
}

// expire removes lease i and deletes its keys.
func (l *leases) expire(i string) {
	l.mu.Lock()
	x := l.active[i]
	delete(l.active, i)
	l.mu.Unlock()
	for _, k := range x.keys {
		l.deleteKey(k)
	}
}
