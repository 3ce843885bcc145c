// Package dedup lets a call that may not be repeated run a single time for each idempotency key.
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
	prefix     = "once/"
	bucketTime = time.Hour // A key is remembered for one to two such times.
	sweepPause = 10 * time.Minute
	writeTime  = 3 * time.Second
	retryPause = 100 * time.Millisecond
)

// Filter notes each key in the key-value service before the call is sent.
type Filter struct{ store bulrushlug.Store }

// New returns a filter that notes keys in k.
func New(k bulrushlug.Store) *Filter { return &Filter{store: k} }

// Pass refuses r if its idempotency key was used before, and its calls may not be repeated.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	if r.IdempotencyKey() != "" && !r.Idempotent() {
		if err := f.claim(c, r); err != nil {
			return err
		}
	}
	return n.Run(c, r, s)
}

func key(t time.Time, r *bulrushlug.Request) string {
	h := xxhash.New()
	for _, s := range []string{r.Organisation(), r.Route(), r.Method(), r.Path(), r.IdempotencyKey()} {
		_, _ = fmt.Fprintf(h, "%d/%s", len(s), s)
	}
	return fmt.Sprintf("%s%d/%016x", prefix, bucket(t), h.Sum64())
}

func bucket(t time.Time) int64 { return t.Unix() / int64(bucketTime/time.Second) }

// claim writes the key of r, or fails if it is there already.
func (f *Filter) claim(c context.Context, r *bulrushlug.Request) error {
	c, stop := context.WithTimeout(c, writeTime)
	defer stop()
	t := time.Now()
	old, err := f.store.Get(c, key(t.Add(-bucketTime), r))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindStoreDown, "idempotency key", err)
	}
	if old.Revision() > 0 {
		return repeated()
	}
	return f.write(c, key(t, r), []byte(r.ID()))
}

// write creates k with value v; where the answer is lost, the value tells whether it was this call that wrote it.
func (f *Filter) write(c context.Context, k string, v []byte) error {
	for {
		_, err := f.store.CompareAndSwap(c, k, v, 0)
		if err == nil {
			return nil
		}
		i, e := f.store.Get(c, k)
		switch {
		case e == nil && string(i.Value()) == string(v):
			return nil
		case e == nil && i.Revision() > 0:
			return repeated()
		}
		if bulrushlug.Sleep(c, retryPause) != nil {
			return bulrushlug.WrapError(bulrushlug.KindStoreDown, "idempotency key", err)
		}
	}
}

func repeated() error {
	return bulrushlug.Errorf(bulrushlug.KindRepeated, "a call with this idempotency key was sent before; it may have run")
}

// Run removes old keys until c ends.
func (f *Filter) Run(c context.Context) error {
	for bulrushlug.Sleep(c, sweepPause) == nil {
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
