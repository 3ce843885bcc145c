package reach

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug/memtxn"
)

// TestOverdue guards against a process that takes the key-value service for well until its calls time out.
func TestOverdue(t *testing.T) {
	for name, x := range map[string]struct {
		delay time.Duration // Of each response.
		call  func(c context.Context, s *Store)
		after time.Duration
		want  bool
	}{
		"no call":                            {after: time.Minute},
		"a call that was answered":           {call: func(c context.Context, s *Store) { _, _ = s.Get(c, "k") }, after: time.Second},
		"a call of a slow service":           {delay: 250 * time.Millisecond, call: func(c context.Context, s *Store) { _, _ = s.Get(c, "k") }, after: 200 * time.Millisecond},
		"a call that gets no response":       {delay: time.Minute, call: func(c context.Context, s *Store) { _, _ = s.Get(c, "k") }, after: patience + time.Millisecond, want: true},
		"a renewal that gets none":           {delay: time.Minute, call: func(c context.Context, s *Store) { _ = s.Renew(c, 1) }, after: patience + time.Millisecond, want: true},
		"a commit that gets none":            {delay: time.Minute, call: func(c context.Context, s *Store) { _, _ = s.Commit(c, nil, nil) }, after: patience + time.Millisecond, want: true},
		"a response that came late":          {delay: 2 * time.Second, call: func(c context.Context, s *Store) { _, _, _ = s.List(c, "") }, after: 3 * time.Second},
		"a watch that waits":                 {call: func(c context.Context, s *Store) { _, _, _ = s.Watch(c, "", 9, 2*time.Second) }, after: 1900 * time.Millisecond},
		"a watch whose wait has long passed": {delay: time.Minute, call: func(c context.Context, s *Store) { _, _, _ = s.Watch(c, "", 9, 2*time.Second) }, after: 2*time.Second + patience + time.Millisecond, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtxn.New()
				m.SetDelay(x.delay)
				s := New(m)
				if x.call != nil {
					go x.call(t.Context(), s)
				}
				time.Sleep(x.after)
				if got := s.Overdue(); got != x.want {
					t.Errorf("overdue: %v", got)
				}
				time.Sleep(2 * time.Minute)
				if s.Overdue() {
					t.Error("overdue after all calls have ended")
				}
			})
		})
	}
}
