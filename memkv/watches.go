package memkv

import (
	"strings"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

// watchBuffer is the number of writes that a slow watch holds before it loses some.
const watchBuffer = 256

type watches struct {
	mu   sync.Mutex
	open map[*watch]bool
}

type watch struct {
	prefix string
	items  chan bulrushlug.KVEntry
}

func (w *watches) add(p string) (<-chan bulrushlug.KVEntry, func()) {
	x := &watch{prefix: p, items: make(chan bulrushlug.KVEntry, watchBuffer)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[*watch]bool{}
	}
	w.open[x] = true
	return x.items, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.open, x)
	}
}

func (w *watches) publish(i bulrushlug.KVEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.open {
		if !strings.HasPrefix(i.Key(), x.prefix) {
			continue
		}
		select {
		case x.items <- i:
		default:
		}
	}
}
