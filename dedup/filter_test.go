package dedup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memkv"
)

// call passes a request with idempotency key "k" through f to a stage that fails with err, and returns how often that ran it.
func call(f *Filter, id string, idempotent bool, err error) (ran int, got error) {
	r := bulrushlug.NewRequest(id, bulrushlug.WithIdempotencyKey("k"), bulrushlug.WithIdempotent(idempotent))
	got = f.Pass(context.Background(), r, nil, bulrushlug.StageFunc(func(context.Context, *bulrushlug.Request, bulrushlug.Sink) error {
		ran++
		return err
	}))
	return ran, got
}

// TestKeyIsFree has a call return with its key after each kind of answer: a caller that is told that its call did not run
// may send it again, any other call runs at most once.
func TestKeyIsFree(t *testing.T) {
	type answer struct {
		err        error
		idempotent bool
		fault      func(m *memkv.Store) // Takes place before the first call.
		free       bool
	}
	l := map[string]answer{
		"success":                   {},
		"success, idempotent":       {idempotent: true, free: true},
		"timeout":                   {err: context.DeadlineExceeded},
		"the caller has gone":       {err: context.Canceled},
		"the claim's response lost": {err: bulrushlug.Errorf(bulrushlug.KindUnplaceable, "x"), fault: func(m *memkv.Store) { m.DropResponses(1) }, free: true},
		"ran, response lost":        {fault: func(m *memkv.Store) { m.DropResponses(1) }},
	}
	for _, k := range bulrushlug.Kinds() {
		l["kind "+k.String()] = answer{err: bulrushlug.Errorf(k, "x"), free: !k.Response().MayHaveRun()}
	}
	for name, x := range l {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memkv.New()
				if x.fault != nil {
					x.fault(m)
				}
				if n, err := call(New(m), "one", x.idempotent, x.err); n != 1 || err != x.err {
					t.Fatalf("the first call ran %d times: %v", n, err)
				}
				n, err := call(New(m), "two", x.idempotent, nil)
				if (n == 1) != x.free || (bulrushlug.KindOf(err) == bulrushlug.KindRepeated) == x.free {
					t.Errorf("the second call ran %d times: %v", n, err)
				}
			})
		})
	}
}

// TestReleaseFails guards against a refusal that waits for a key-value service which does not answer, and against a key that
// is free although its removal failed.
func TestReleaseFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memkv.New()
		f := New(m)
		begun := time.Now()
		r := bulrushlug.NewRequest("one", bulrushlug.WithIdempotencyKey("k"))
		err := f.Pass(t.Context(), r, nil, bulrushlug.StageFunc(func(context.Context, *bulrushlug.Request, bulrushlug.Sink) error {
			m.SetDelay(time.Minute)
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "x")
		}))
		if bulrushlug.KindOf(err) != bulrushlug.KindUnplaceable || time.Since(begun) > releaseTimeout {
			t.Errorf("after %v: %v", time.Since(begun), err)
		}
		m.SetDelay(0)
		if n, err := call(f, "two", false, nil); n != 0 || bulrushlug.KindOf(err) != bulrushlug.KindRepeated {
			t.Errorf("the second call ran %d times: %v", n, err)
		}
	})
}
