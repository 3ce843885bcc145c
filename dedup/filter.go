// Package dedup gives calls that are not idempotent at-most-once execution for each idempotency key.
package dedup

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlug.dev/bulrushlug"
)

const (
	prefix        = "once/"
	bucketWidth   = time.Hour        // A key is kept for one to two bucket widths.
	sweepInterval = 10 * time.Minute // Time between two removals of expired keys.
	writeTimeout  = 3 * time.Second  // Timeout of the claim of one key.
	retryInterval = 100 * time.Millisecond
	// releaseTimeout is the timeout of the release of one key; a refusal waits for it, so that the caller may return at once.
	releaseTimeout = time.Second
)

// Filter claims each idempotency key in the key-value service before the call is sent.
type Filter struct{ store bulrushlug.Store }

// New returns a filter that keeps keys in k.
func New(k bulrushlug.Store) *Filter { return &Filter{store: k} }

// Pass refuses r with KindRepeated if its idempotency key was used before, unless r is idempotent. A key whose request
// certainly did not run may be used again.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.IdempotencyKey() == "" || r.Idempotent() {
		return n.Run(c, r, s)
	}
	k, err := f.claim(c, r)
	if err != nil {
		return err
	}
	err = n.Run(c, r, s)
	if err != nil && !bulrushlug.KindOf(err).Response().MayHaveRun() {
		f.release(c, k)
	}
	return err
}

// key returns the store key of r: a prefix, the time bucket of t and a hash of the call and its idempotency key.
func key(t time.Time, r *bulrushlug.Request) string {
	h := xxhash.New()
	for _, s := range []string{r.Organisation(), r.Route(), r.Method(), r.Path(), r.IdempotencyKey()} {
		_, _ = fmt.Fprintf(h, "%d/%s", len(s), s)
	}
	return fmt.Sprintf("%s%d/%016x", prefix, bucket(t), h.Sum64())
}

func bucket(t time.Time) int64 { return t.Unix() / int64(bucketWidth/time.Second) }

// claim creates the store key of r; it fails with KindRepeated if that exists in the current or the previous bucket.
func (f *Filter) claim(c context.Context, r *bulrushlug.Request) (claimed bulrushlug.KVEntry, err error) {
	c, stop := context.WithTimeout(c, writeTimeout)
	defer stop()
	t := time.Now()
	old, err := f.store.Get(c, key(t.Add(-bucketWidth), r))
	if err != nil {
		return claimed, bulrushlug.WrapError(bulrushlug.KindStoreDown, "idempotency key", err)
	}
	if old.Revision() > 0 {
		return claimed, repeatedError()
	}
	return f.create(c, key(t, r), []byte(r.ID()))
}

// create creates k with value v; if the response is lost, the stored value shows whether this call wrote it.
func (f *Filter) create(c context.Context, k string, v []byte) (bulrushlug.KVEntry, error) {
	for {
		n, err := f.store.CompareAndSwap(c, k, v, 0)
		if err == nil {
			return bulrushlug.NewKVEntry(k, v, n), nil
		}
		i, e := f.store.Get(c, k)
		switch {
		case e == nil && string(i.Value()) == string(v):
			return i, nil
		case e == nil && i.Revision() > 0:
			return bulrushlug.KVEntry{}, repeatedError()
		}
		if bulrushlug.Sleep(c, retryInterval) != nil {
			return bulrushlug.KVEntry{}, bulrushlug.WrapError(bulrushlug.KindStoreDown, "idempotency key", err)
		}
	}
}

// release removes k, also if the caller has gone. If that fails, the key stays used: a repeated call is refused, and none runs
// twice.
func (f *Filter) release(c context.Context, k bulrushlug.KVEntry) {
	c, stop := context.WithTimeout(context.WithoutCancel(c), releaseTimeout)
	defer stop()
	_ = f.store.Delete(c, k.Key(), k.Revision())
}

func repeatedError() error {
	return bulrushlug.Errorf(bulrushlug.KindRepeated, "a call with this idempotency key was already sent and may have run")
}

// Run removes expired keys until c ends.
func (f *Filter) Run(c context.Context) error {
	for bulrushlug.Sleep(c, sweepInterval) == nil {
		f.sweep(c)
	}
	return nil
}

func (f *Filter) sweep(c context.Context) {
	l, _, err := f.store.List(c, prefix)
	if err != nil {
		return
	}
	for _, i := range l {
		b, _, _ := strings.Cut(strings.TrimPrefix(i.Key(), prefix), "/")
		n, err := strconv.ParseInt(b, 10, 64)
		if err == nil && n < bucket(time.Now())-1 {
			_ = f.store.Delete(c, i.Key(), i.Revision())
		}
	}
}
