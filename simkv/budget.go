package simkv

import (
	"net/http"
	"sync"
	"time"
)

const (
	readsPerSecond  = 2000
	writesPerSecond = 300
)

// budget refuses calls above the rates that the service handles.
type budget struct {
	mu     sync.Mutex
	second int64 // Unix time of the counts.
	reads  int
	writes int
}

func (b *budget) read(w http.ResponseWriter) bool  { return b.spend(w, &b.reads, readsPerSecond) }
func (b *budget) write(w http.ResponseWriter) bool { return b.spend(w, &b.writes, writesPerSecond) }

func (b *budget) spend(w http.ResponseWriter, n *int, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := time.Now().Unix(); s != b.second {
		b.second, b.reads, b.writes = s, 0, 0
	}
	*n++
	if *n > limit {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}
