//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the key-value service.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"` // Standard base64.
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// change is one change as a watch returns it; item is nil for a removal.
type change struct {
	key      string
	revision uint64
	item     *item
}

// store is a stand-in of the platform's key-value service, as PROTOCOL.md tells it. It is sound: what it answers is
// linearizable, and nothing is lost.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	leases   map[uint64]time.Time // When each lease ends.
	ttls     map[uint64]time.Duration
	renewed  map[uint64]time.Time // When each lease was last renewed.
	next     uint64
	changed  chan struct{}
	address  string
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, renewed: map[uint64]time.Time{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes value under key as the operator or a server does, and returns the revision: its return is the confirmation.
func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, base64.StdEncoding.EncodeToString([]byte(value)), 0)
	s.wake()
	return s.revision
}

// drop removes key.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

// get returns the value under key.
func (s *store) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[key]
	b, _ := base64.StdEncoding.DecodeString(x.Value)
	return string(b), ok
}

// sinceRenewal returns the time since the last renewal of the lease of key.
func (s *store) sinceRenewal(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.renewed[s.items[key].Lease])
}

func (s *store) set(key, value string, lease uint64) {
	x := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		x.Created = old.Created
	}
	s.items[key] = x
	s.history = append(s.history, change{key, s.revision, &x})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, change{key, s.revision, nil})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases whose time is over.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, t := range s.leases {
		if time.Now().After(t) {
			s.endLease(n)
		}
	}
}

func (s *store) endLease(n uint64) {
	delete(s.leases, n)
	s.revision++
	for k, x := range s.items {
		if x.Lease == n {
			s.remove(k)
		}
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key, Value string
			Lease      uint64
		}
		Remove []string
		TTLMs  int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	q := r.URL.Query()
	status, x := 200, any(map[string]any{})
	s.mu.Lock()
	switch p := r.URL.Path; {
	case p == "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			status = 404
			break
		}
		x = struct {
			item
			CurrentRev uint64 `json:"currentRev"`
		}{i, s.revision}
	case p == "/kv-range":
		l := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				l = append(l, i)
			}
		}
		sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
		more := len(l) > 500
		if more {
			l = l[:500]
		}
		x = map[string]any{"items": l, "morePages": more, "currentRev": s.revision}
	case p == "/kv-watch":
		x = s.watch(r, q.Get("prefix"), number(q.Get("after")), time.Duration(number(q.Get("waitMs")))*time.Millisecond)
	case p == "/kv-txn":
		for _, c := range b.Precondition {
			if s.items[c.Key].Revision != c.Revision {
				status = 412
			}
		}
		if status == 412 {
			l := []item{}
			for _, c := range b.Precondition {
				if i, ok := s.items[c.Key]; ok {
					l = append(l, i)
				}
			}
			x = map[string]any{"items": l}
			break
		}
		for _, k := range b.SetKeys {
			if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
				status = 404
			}
			if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
				status = 403
			}
		}
		if status != 200 {
			break
		}
		s.revision++
		for _, k := range b.SetKeys {
			s.set(k.Key, k.Value, k.Lease)
		}
		for _, k := range b.Remove {
			s.remove(k)
		}
		s.wake()
		x = map[string]any{"revision": s.revision}
	case p == "/kv-lease":
		s.next++
		d := time.Duration(b.TTLMs) * time.Millisecond
		s.leases[s.next], s.ttls[s.next] = time.Now().Add(d), d
		x = map[string]any{"lease": s.next, "ttlMs": b.TTLMs}
	case strings.HasPrefix(p, "/kv-keep/"):
		n := number(strings.TrimPrefix(p, "/kv-keep/"))
		if _, ok := s.leases[n]; !ok {
			status = 404
			break
		}
		s.leases[n] = time.Now().Add(s.ttls[n])
		s.renewed[n] = time.Now()
	case strings.HasPrefix(p, "/kv-lease-end/"):
		n := number(strings.TrimPrefix(p, "/kv-lease-end/"))
		if _, ok := s.leases[n]; !ok {
			status = 404
			break
		}
		s.endLease(n)
	default:
		status = 404
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(x)
}

func number(t string) uint64 {
	n, _ := strconv.ParseUint(t, 10, 64)
	return n
}

// watch waits for changes under prefix after revision n; the caller holds the lock, which is released while it waits.
func (s *store) watch(r *http.Request, prefix string, n uint64, wait time.Duration) any {
	until := time.After(wait)
	for {
		l := []map[string]any{}
		for _, c := range s.history {
			if c.revision <= n || !strings.HasPrefix(c.key, prefix) {
				continue
			}
			if c.item == nil {
				l = append(l, map[string]any{"key": c.key, "revision": c.revision, "tombstone": true})
				continue
			}
			l = append(l, map[string]any{"key": c.key, "value": c.item.Value, "revision": c.revision, "created": c.item.Created, "lease": c.item.Lease})
		}
		x, now := s.changed, s.revision
		over := len(l) > 0
		if !over {
			s.mu.Unlock()
			select {
			case <-x:
			case <-until:
				over = true
			case <-r.Context().Done():
				over = true
			}
			s.mu.Lock()
		}
		if over {
			return map[string]any{"events": l, "currentRev": now}
		}
	}
}
