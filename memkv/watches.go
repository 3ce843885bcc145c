package memkv

import (
	"strings"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

// watchBuffer is the number of changes buffered for a slow watch before further ones are dropped.
const watchBuffer = 256

// watches is the set of active watches.
type watches struct {
	mu     sync.Mutex
	active map[*watch]bool
}

// watch receives the changes of keys under one prefix.
type watch struct {
	prefix  string
	entries chan bulrushlug.KVEntry
}

func (w *watches) add(p string) (<-chan bulrushlug.KVEntry, func()) {
	x := &watch{prefix: p, entries: make(chan bulrushlug.KVEntry, watchBuffer)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == nil {
		w.active = map[*watch]bool{}
	}
	w.active[x] = true
	return x.entries, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.active, x)
	}
}

// publish sends i to all matching watches and drops it for those whose buffers are full.
func (w *watches) publish(i bulrushlug.KVEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.active {
		if !strings.HasPrefix(i.Key(), x.prefix) {
			continue
		}
		select {
		case x.entries <- i:
		default:
		}
	}
}
