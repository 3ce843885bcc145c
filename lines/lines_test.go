package lines

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTake(t *testing.T) {
	for name, x := range map[string]struct {
		before  int           // Lines before the last one.
		after   time.Duration // Time from them to the last one.
		omitted int
		ok      bool
	}{
		"the first":                {ok: true},
		"the last of the second":   {before: 2, ok: true},
		"one too many":             {before: 3},
		"the next second":          {before: 3, after: time.Second, ok: true},
		"after some were left out": {before: 5, after: time.Second, omitted: 2, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New(3)
				for range x.before {
					l.Take()
				}
				time.Sleep(x.after)
				if n, ok := l.Take(); n != x.omitted || ok != x.ok {
					t.Errorf("%d omitted, allowed: %v", n, ok)
				}
			})
		})
	}
}
