package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the platform's store takes for an answer.
const storeDelay = 4 * time.Millisecond

// kvItem is an item of the platform's store, as PROTOCOL.md names its fields.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// kvLease is a lease of the store.
type kvLease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a sound stand-in for the platform's store: linearizable, and without faults of its own.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	history  []kvItem
	leases   map[uint64]*kvLease
	changed  chan struct{}
}

func newStore() *kvStore {
	s := &kvStore{revision: 100, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended.
func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(n)
		}
	}
}

// endLease ends lease n and removes its keys; the caller holds the lock.
func (s *kvStore) endLease(n uint64) {
	delete(s.leases, n)
	for k, x := range s.items {
		if x.Lease == n {
			s.revision++
			s.remove(k)
		}
	}
}

// remove removes key k at the current revision; the caller holds the lock.
func (s *kvStore) remove(k string) {
	if _, ok := s.items[k]; !ok {
		return
	}
	delete(s.items, k)
	s.note(kvItem{Key: k, Revision: s.revision, Tombstone: true})
}

// note adds x to the history and wakes the watches; the caller holds the lock.
func (s *kvStore) note(x kvItem) {
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes key k at the current revision; the caller holds the lock.
func (s *kvStore) put(k string, v []byte, lease uint64) {
	x := kvItem{Key: k, Value: v, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[k]; ok {
		x.Created = old.Created
	}
	s.items[k] = x
	s.note(x)
}

// set writes key k, as the operator and the servers do.
func (s *kvStore) set(k string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(k, b, 0)
}

// get returns the value of key k, or nil.
func (s *kvStore) get(k string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[k].Value
}

// ServeHTTP answers a call of the system.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	p := r.URL.Path
	switch {
	case p == "/kv-key":
		s.serveKey(w, q.Get("key"))
	case p == "/kv-range":
		s.serveRange(w, q.Get("prefix"))
	case p == "/kv-watch":
		s.serveWatch(w, r)
	case p == "/kv-txn":
		s.serveTxn(w, r)
	case p == "/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(p, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(p, "/kv-keep/"))
	case strings.HasPrefix(p, "/kv-lease-end/"):
		n, _ := strconv.ParseUint(strings.TrimPrefix(p, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(n)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func answer(w http.ResponseWriter, n int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(n)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *kvStore) serveKey(w http.ResponseWriter, k string) {
	s.mu.Lock()
	x, ok := s.items[k]
	n := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"currentRev": n})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": x.Key, "value": x.Value, "revision": x.Revision, "created": x.Created, "lease": x.Lease, "currentRev": n})
}

func (s *kvStore) serveRange(w http.ResponseWriter, p string) {
	s.mu.Lock()
	l := []kvItem{}
	for k, x := range s.items {
		if strings.HasPrefix(k, p) {
			l = append(l, x)
		}
	}
	n := s.revision
	s.mu.Unlock()
	slices.SortFunc(l, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": l, "morePages": false, "currentRev": n})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		l := []kvItem{}
		s.mu.Lock()
		for _, x := range s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, q.Get("prefix")) {
				l = append(l, x)
			}
		}
		n, c := s.revision, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": l, "currentRev": n})
			return
		}
		select {
		case <-c:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": l, "currentRev": n})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// kvTxn is the body of a conditional change.
type kvTxn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t kvTxn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			l := []kvItem{}
			for _, c := range t.Precondition {
				if x, ok := s.items[c.Key]; ok {
					l = append(l, x)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": l})
			return
		}
	}
	for _, x := range t.SetKeys {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range t.SetKeys {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&g)
	d := max(time.Second, time.Duration(g.TTL)*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &kvLease{ttl: d, end: time.Now().Add(d)}
	answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": d.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
