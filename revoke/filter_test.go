package revoke

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// source is a configuration source that a test controls.
type source struct {
	config atomic.Pointer[bulrushlug.Config]
	stale  atomic.Bool
}

func (s *source) Config() *bulrushlug.Config { return s.config.Load() }
func (s *source) Fresh() bool                { return !s.stale.Load() }
func (s *source) Accepted() uint64           { return 0 }

func (s *source) put(t *testing.T, o bulrushlug.Organisation) {
	f, err := s.Config().Apply(bulrushlug.NewChange("i", "t", o).WithRevision(s.Config().Revision() + 1))
	if err != nil {
		t.Fatal(err)
	}
	s.config.Store(f)
}

// TestWithdrawalCancelsRunningRequests guards against requests that keep running after their key was withdrawn or the
// configuration went stale, and against cancelling them on unrelated changes.
func TestWithdrawalCancelsRunningRequests(t *testing.T) {
	key := func(withdrawn bool) bulrushlug.Organisation {
		return bulrushlug.NewOrganisation("o", 1, 1).WithKey(bulrushlug.NewKey("k", "h", withdrawn)).WithKey(bulrushlug.NewKey("other", "g", false))
	}
	for name, x := range map[string]struct {
		change func(t *testing.T, s *source)
		kind   bulrushlug.Kind
		ends   bool
	}{
		"key withdrawn":        {change: func(t *testing.T, s *source) { s.put(t, key(true)) }, kind: bulrushlug.KindUnauthenticated, ends: true},
		"stale configuration":  {change: func(_ *testing.T, s *source) { s.stale.Store(true) }, kind: bulrushlug.KindStale, ends: true},
		"organisation changed": {change: func(t *testing.T, s *source) { s.put(t, key(false).WithRate(9, 9)) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &source{}
				s.config.Store(bulrushlug.NewConfig())
				s.put(t, key(false))
				g := New(s)
				c, stop := context.WithCancel(context.Background())
				defer stop()
				go func() { _ = g.Run(c) }()
				r := bulrushlug.NewRequest("r")
				r.Authenticate("o", "k")
				start := time.Now()
				go func() {
					time.Sleep(2 * time.Second)
					x.change(t, s)
				}()
				err := g.Pass(c, r, nil, bulrushlug.StageFunc(func(c context.Context, _ *bulrushlug.Request, _ bulrushlug.Sink) error {
					return bulrushlug.Sleep(c, 10*time.Second)
				}))
				d := time.Since(start) - 2*time.Second
				if x.ends && (bulrushlug.KindOf(err) != x.kind || d > 2*checkInterval) {
					t.Errorf("ended after %v with %v", d, err)
				}
				if !x.ends && err != nil {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}
