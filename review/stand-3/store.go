//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one item of the store; removed entries stay in the history only.
type entry struct {
	key, value        string
	revision, created uint64
	lease             uint64
	removed           bool
}

func (e entry) encode() map[string]any {
	if e.removed {
		return map[string]any{"key": e.key, "revision": e.revision, "tombstone": true}
	}
	return map[string]any{"key": e.key, "value": base64.StdEncoding.EncodeToString([]byte(e.value)), "revision": e.revision, "created": e.created, "lease": e.lease}
}

// lease ends at its time unless it is renewed.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md has it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]entry
	history  []entry
	leases   map[uint64]*lease
	changed  chan struct{}
}

const answerTime = 4 * time.Millisecond

func newStore() *store {
	s := &store{revision: 1, items: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes key as one change; the lock is held.
func (s *store) put(key, value string, l uint64) {
	e := entry{key: key, value: value, revision: s.revision, created: s.revision, lease: l}
	if old, ok := s.items[key]; ok {
		e.created = old.created
	}
	s.items[key] = e
	s.history = append(s.history, e)
}

// remove removes key; the lock is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, entry{key: key, revision: s.revision, removed: true})
	}
}

// commit calls f as one change.
func (s *store) commit(f func()) uint64 {
	s.revision++
	f()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// write is a write of the platform: of the operator, or of a runner about itself.
func (s *store) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(func() { s.put(key, value, 0) })
}

// erase is a removal by the platform.
func (s *store) erase(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(func() { s.remove(key) })
}

// get returns the value of key, empty if there is none.
func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(n)
		}
	}
}

func (s *store) endLease(n uint64) {
	delete(s.leases, n)
	var l []string
	for k, e := range s.items {
		if e.lease == n {
			l = append(l, k)
		}
	}
	if len(l) > 0 {
		s.commit(func() {
			for _, k := range l {
				s.remove(k)
			}
		})
	}
}

func reply(w http.ResponseWriter, status int, x any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(x)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	switch p := r.URL.Path; {
	case p == "/kv-key":
		s.mu.Lock()
		e, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, e.encode())
	case p == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case p == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(min(ms, 30000))*time.Millisecond)
	case p == "/kv-txn":
		s.txn(w, r)
	case p == "/kv-lease":
		var b struct {
			TTL int `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		d := time.Duration(max(1000, min(b.TTL, 600000))) * time.Millisecond
		s.mu.Lock()
		s.revision++
		n := s.revision
		s.leases[n] = &lease{d, time.Now().Add(d)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": n, "ttlMs": d.Milliseconds()})
	case strings.HasPrefix(p, "/kv-keep/"):
		n, _ := strconv.ParseUint(p[len("/kv-keep/"):], 10, 64)
		s.mu.Lock()
		l, ok := s.leases[n]
		if ok {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	case strings.HasPrefix(p, "/kv-lease-end/"):
		n, _ := strconv.ParseUint(p[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		if _, ok := s.leases[n]; ok {
			s.endLease(n)
		}
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	l := []any{}
	for _, k := range keys {
		l = append(l, s.items[k].encode())
	}
	reply(w, 200, map[string]any{"items": l, "morePages": more, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, d time.Duration) {
	end := time.After(d)
	for {
		s.mu.Lock()
		l := []any{}
		for _, e := range s.history {
			if e.revision > after && strings.HasPrefix(e.key, prefix) {
				l = append(l, e.encode())
			}
		}
		rev, c := s.revision, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			reply(w, 200, map[string]any{"events": l, "currentRev": rev})
			return
		}
		select {
		case <-c:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, 200, map[string]any{"events": l, "currentRev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	items := []any{}
	for _, c := range b.Precondition {
		e := s.items[c.Key]
		failed = failed || e.revision != c.Revision
		if e.revision > 0 {
			items = append(items, e.encode())
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, x := range b.SetKeys {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	n := s.commit(func() {
		for _, x := range b.SetKeys {
			v, _ := base64.StdEncoding.DecodeString(x.Value)
			s.put(x.Key, string(v), x.Lease)
		}
		for _, k := range b.Remove {
			s.remove(k)
		}
	})
	reply(w, 200, map[string]any{"revision": n})
}
