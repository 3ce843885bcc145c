package simkv

import (
	"net/http"
	"sync"
	"time"
)

// readsPerSecond and writesPerSecond are the call rates that the platform's service sustains.
const (
	readsPerSecond  = 2000
	writesPerSecond = 300
)

// rateLimiter limits the rates of reads and writes by fixed windows of one second.
type rateLimiter struct {
	mu     sync.Mutex
	second int64 // Current window, in Unix seconds.
	reads  int
	writes int
}

func (b *rateLimiter) allowRead(w http.ResponseWriter) bool {
	return b.allow(w, &b.reads, readsPerSecond)
}
func (b *rateLimiter) allowWrite(w http.ResponseWriter) bool {
	return b.allow(w, &b.writes, writesPerSecond)
}

// allow counts one call in n; above limit it responds with status 429 and returns false.
func (b *rateLimiter) allow(w http.ResponseWriter, n *int, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := time.Now().Unix(); s != b.second {
		b.second, b.reads, b.writes = s, 0, 0
	}
	*n++
	if *n > limit {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}
