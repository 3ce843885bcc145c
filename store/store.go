// Package store is the HTTP client of the platform's key-value service, with optimistic concurrency by revision.
package store

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	callTimeout      = 2 * time.Second // Timeout of one HTTP call, including reading the response.
	maxResponseBytes = 32 << 20        // Largest body of a response.
)

// Store calls the key-value service; it is safe for concurrent use.
type Store struct {
	base   string // URL without a trailing slash.
	client *http.Client
}

// New returns a client of the service at the base URL u.
func New(u string) *Store { return &Store{base: u, client: &http.Client{Timeout: callTimeout}} }

// Get returns the entry of key k; its revision is zero if the key does not exist. It fails with KindStoreDown.
func (s *Store) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	r, b, err := s.call(c, http.MethodGet, "/v1/kv/"+k, nil)
	if err != nil {
		return bulrushlug.KVEntry{}, err
	}
	if r.StatusCode == http.StatusNotFound {
		return bulrushlug.KVEntry{}, nil
	}
	if err := statusError(k, r, b); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	return bulrushlug.NewKVEntry(k, b, revisionHeader(r)), nil
}

// CompareAndSwap sets key k to v if its revision is prev, zero for a key that must not exist, and returns the new revision.
//
// It fails with KindConflict if the revision differs, KindTooLarge, or KindStoreDown, after which the write may have
// taken effect.
func (s *Store) CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error) {
	r, b, err := s.call(c, http.MethodPut, "/v1/kv/"+k+"?prev="+strconv.FormatUint(prev, 10), v)
	if err != nil {
		return 0, err
	}
	return revisionHeader(r), statusError(k, r, b)
}

// Delete removes key k if its revision is prev; it fails like CompareAndSwap.
func (s *Store) Delete(c context.Context, k string, prev uint64) error {
	r, b, err := s.call(c, http.MethodDelete, "/v1/kv/"+k+"?prev="+strconv.FormatUint(prev, 10), nil)
	if err != nil {
		return err
	}
	return statusError(k, r, b)
}

// List returns the entries whose keys start with p, sorted by key, and the revision of the store. It fails with KindStoreDown.
func (s *Store) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	r, b, err := s.call(c, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(p), nil)
	if err != nil {
		return nil, 0, err
	}
	if err := statusError(p, r, b); err != nil {
		return nil, 0, err
	}
	e, err := codec.ParseJSON[wire.Entries](b)
	if err != nil {
		return nil, 0, bulrushlug.WrapError(bulrushlug.KindStoreDown, p, err)
	}
	var l []bulrushlug.KVEntry
	for _, x := range e.Entries {
		l = append(l, bulrushlug.NewKVEntry(x.Key, x.Value, x.Revision))
	}
	return l, e.Revision, nil
}

func (s *Store) call(c context.Context, m, p string, v []byte) (*http.Response, []byte, error) {
	q, err := http.NewRequestWithContext(c, m, s.base+p, bytes.NewReader(v))
	if err != nil {
		return nil, nil, bulrushlug.WrapError(bulrushlug.KindInternal, p, err)
	}
	r, err := s.client.Do(q)
	if err != nil {
		return nil, nil, bulrushlug.WrapError(bulrushlug.KindStoreDown, p, err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := bulrushlug.ReadAll(r.Body, maxResponseBytes)
	if err != nil {
		return nil, nil, bulrushlug.WrapError(bulrushlug.KindStoreDown, p, err)
	}
	return r, b, nil
}

func revisionHeader(r *http.Response) uint64 {
	n, _ := strconv.ParseUint(r.Header.Get("Revision"), 10, 64)
	return n
}

// statusError maps the HTTP status of a response to an error; k is the key or prefix used in its message.
func statusError(k string, r *http.Response, b []byte) error {
	switch r.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return bulrushlug.Errorf(bulrushlug.KindConflict, "%s", bytes.TrimSpace(b))
	case http.StatusRequestEntityTooLarge:
		return bulrushlug.Errorf(bulrushlug.KindTooLarge, "%s", bytes.TrimSpace(b))
	}
	return bulrushlug.Errorf(bulrushlug.KindStoreDown, "%s: status %d", k, r.StatusCode)
}
