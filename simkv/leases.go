package simkv

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

type leases struct {
	mu   sync.Mutex
	live map[string]*lease
	drop func(key string) // Removes a key whose lease ran out.
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  []string
}

func (l *leases) grant(d time.Duration) string {
	i := uuid.NewString()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.live == nil {
		l.live = map[string]*lease{}
	}
	l.live[i] = &lease{ttl: d, timer: time.AfterFunc(d, func() { l.end(i) })}
	return i
}

func (l *leases) renew(i string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.live[i]
	return ok && x.timer.Reset(x.ttl)
}

func (l *leases) attach(i, k string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.live[i]; ok {
		x.keys = append(x.keys, k)
	}
}

func (l *leases) end(i string) {
	l.mu.Lock()
	x := l.live[i]
	delete(l.live, i)
	l.mu.Unlock()
	for _, k := range x.keys {
		l.drop(k)
	}
}
