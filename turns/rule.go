// Package turns has processes take the idle slots of backend servers in turn.
//
// Load pattern: many items wait in all processes, and a crest of online requests ends, so that most slots become idle at
// once. All processes see the same idle slots in reports that are some hundred ms old. If each of them fills what it
// sees, a server gets more items than it has slots, and the excess is cut as soon as the processes hear of each other,
// often before its first event.
package turns

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 8
	timeout    = 1500 * time.Millisecond // Age at which a report is ignored.
	minWindow  = 100 * time.Millisecond  // No process reports more often.
)

// Rule lets the processes that have waiting items take the idle slots of a server in turn, in their order at the server,
// which all of them know. It implements bulrushlug.StartRule.
type Rule struct {
	self   string       // VM of this process.
	window atomic.Int64 // Time between the last two reports of a process.
	shards [shardCount]shard
}

// shard holds the last reports of some of the processes.
type shard struct {
	mu      sync.Mutex
	reports map[string]report // By VM.
}

type report struct {
	at    time.Time
	waits bool // The process has items that wait for a slot.
}

// New returns the rule of the process on VM vm, which has heard of no other process.
func New(vm string) *Rule {
	r := &Rule{self: vm}
	for i := range r.shards {
		r.shards[i].reports = map[string]report{}
	}
	return r
}

func (r *Rule) shard(vm string) *shard { return &r.shards[xxhash.Sum64String(vm)%shardCount] }

// Observe records that the process on VM vm has reported whether it has items that wait for a slot.
func (r *Rule) Observe(vm string, waits bool) {
	now := time.Now()
	s := r.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.reports[vm].at); d >= minWindow && d < timeout {
		r.window.Store(int64(d))
	}
	s.reports[vm] = report{now, waits}
	for v, x := range s.reports {
		if now.Sub(x.at) >= timeout {
			delete(s.reports, v)
		}
	}
}

// Window returns the time between two reports of a process.
func (r *Rule) Window() time.Duration { return max(minWindow, time.Duration(r.window.Load())) }

// Share returns how many of n idle slots of a server this process may take within Window.
func (r *Rule) Share(order []string, n int) int {
	before, count, found := 0, 0, false
	now := time.Now()
	for _, vm := range order {
		switch {
		case vm == r.self:
			found = true
		case !r.waits(vm, now):
			continue
		case !found:
			before++
		}
		if count++; before >= n || found && count >= n {
			break
		}
	}
	if !found || before >= n {
		return 0
	}
	return (n - before + count - 1) / count
}

// waits reports whether the process on VM vm has items that wait for a slot, as far as it said lately.
func (r *Rule) waits(vm string, now time.Time) bool {
	s := r.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.reports[vm]
	return x.waits && now.Sub(x.at) < timeout
}
