package queue

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// shares has fixed shares.
type shares struct{ used map[string]float64 }

func (s *shares) Charge(o string, n float64) { s.used[o] += n }
func (s *shares) Used(o string) float64      { return s.used[o] }
func (s *shares) Exceeds(o string) bool      { return s.used[o] > 100 }

// TestOrder lets requests wait, and frees places one after the other.
func TestOrder(t *testing.T) {
	const patience = time.Second
	for name, x := range map[string]struct {
		used    map[string]float64
		waiters []bulrushlug.Waiter
		want    []int // Indices of waiters, in the order in which they get places.
	}{
		"order of arrival": {waiters: []bulrushlug.Waiter{bulrushlug.NewWaiter("s", "a", 1), bulrushlug.NewWaiter("s", "a", 1)}, want: []int{0, 1}},
		"organisations in turn, by work": {
			waiters: []bulrushlug.Waiter{bulrushlug.NewWaiter("s", "a", 2), bulrushlug.NewWaiter("s", "a", 2), bulrushlug.NewWaiter("s", "b", 1), bulrushlug.NewWaiter("s", "b", 1), bulrushlug.NewWaiter("s", "b", 1)},
			used:    map[string]float64{"b": 0.5}, want: []int{0, 2, 3, 1, 4},
		},
		"one that used much comes last": {waiters: []bulrushlug.Waiter{bulrushlug.NewWaiter("s", "a", 1), bulrushlug.NewWaiter("s", "b", 1)}, used: map[string]float64{"a": 50}, want: []int{1, 0}},
		"urgent ones first, within one": {waiters: []bulrushlug.Waiter{bulrushlug.NewWaiter("s", "a", 1).WithUrgency(1, time.Time{}, patience), bulrushlug.NewWaiter("s", "a", 1)}, want: []int{1, 0}},
		"one that returned first":       {waiters: []bulrushlug.Waiter{bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Now().Add(5*time.Second), patience), bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Now().Add(3*time.Second), patience)}, want: []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if x.used == nil {
					x.used = map[string]float64{}
				}
				q := New(&shares{used: x.used})
				free := 1000
				take := func(bool) bool { free--; return free >= 0 }
				for range 1000 {
					_ = q.Wait(t.Context(), bulrushlug.NewWaiter("s", "", 0).WithUrgency(0, time.Time{}, patience), take)
				}
				free = 0
				var mu sync.Mutex
				var got []int
				for i, w := range x.waiters {
					if w.Patience() == 0 {
						w = w.WithUrgency(w.Priority(), w.Deadline(), patience)
					}
					go func() {
						f := func(bool) bool { free--; return free >= 0 }
						if err := q.Wait(t.Context(), w, f); err != nil {
							t.Error(err)
						}
						mu.Lock()
						defer mu.Unlock()
						got = append(got, i)
					}()
					synctest.Wait()
				}
				for range x.waiters {
					free = 1
					q.Wake("s")
					synctest.Wait()
				}
				if !slices.Equal(got, x.want) {
					t.Errorf("order %v, want %v", got, x.want)
				}
			})
		})
	}
}

// TestOutcome has a request wait behind others while no place becomes free.
func TestOutcome(t *testing.T) {
	for name, x := range map[string]struct {
		placed int           // Requests that got places just before.
		ahead  int           // Requests that wait already.
		cancel time.Duration // Time after which the caller leaves; zero if it stays.
		wait   time.Duration // How long the request waits.
		kind   bulrushlug.Kind
	}{
		"the first one waits":                {wait: 150 * time.Millisecond, kind: bulrushlug.KindOverloaded},
		"one that can't be in time does not": {placed: 10, ahead: 2, kind: bulrushlug.KindOverloaded},
		"one that may be in time waits":      {placed: 100, ahead: 2, wait: 150 * time.Millisecond, kind: bulrushlug.KindOverloaded},
		"a caller that leaves does not wait": {cancel: 20 * time.Millisecond, wait: 20 * time.Millisecond, kind: bulrushlug.KindCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(&shares{used: map[string]float64{}})
				w := bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Now().Add(5*time.Second), 150*time.Millisecond)
				for range x.placed {
					if err := q.Wait(t.Context(), w, func(bool) bool { return true }); err != nil {
						t.Fatal(err)
					}
				}
				for range x.ahead {
					go func() { _ = q.Wait(t.Context(), w, func(bool) bool { return false }) }()
				}
				synctest.Wait()
				c, stop := context.WithCancel(t.Context())
				defer stop()
				if x.cancel > 0 {
					time.AfterFunc(x.cancel, stop)
				}
				b := time.Now()
				err := q.Wait(c, w, func(bool) bool { return false })
				if d := time.Since(b); d != x.wait || bulrushlug.KindOf(err) != x.kind {
					t.Errorf("%v after %v, want a wait of %v", err, d, x.wait)
				}
				time.Sleep(time.Second)
				if n := q.waiting.Load(); n != 0 {
					t.Errorf("%d requests still wait", n)
				}
			})
		})
	}
}

// TestReturns rejects requests at the same moment: their callers return one after the other, and not after maxReturn.
func TestReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &line{}
		l.placed.Add(time.Now(), 10, rateTime)
		last := time.Duration(0)
		for i := range 100 {
			d := bulrushlug.RetryAfterOf(l.reject(&waiter{}))
			if d <= last && last < maxReturn || d < minReturn || d > maxReturn {
				t.Errorf("caller %d returns after %v, the one before after %v", i, d, last)
			}
			last = d
		}
		if last != maxReturn {
			t.Errorf("the last caller returns after %v, want %v", last, maxReturn)
		}
	})
}

// BenchmarkWait places requests while there is room.
func BenchmarkWait(b *testing.B) {
	q := New(&shares{used: map[string]float64{}})
	w := bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Time{}, time.Second)
	for range b.N {
		if err := q.Wait(b.Context(), w, func(bool) bool { return true }); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRoomElsewhere has servers get room of which this process frees none, while requests wait.
func TestRoomElsewhere(t *testing.T) {
	const patience = 150 * time.Millisecond
	for name, x := range map[string]struct {
		freed time.Duration   // When there is room.
		join  []time.Duration // When each request asks for it.
		want  []time.Duration // When it gets it.
	}{
		"the next one that comes finds it":         {freed: 20 * time.Millisecond, join: []time.Duration{0, 50 * time.Millisecond}, want: []time.Duration{50 * time.Millisecond, 50 * time.Millisecond}},
		"one whose patience ends finds it for all": {freed: 120 * time.Millisecond, join: []time.Duration{0, 100 * time.Millisecond}, want: []time.Duration{patience, patience}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(&shares{used: map[string]float64{}})
				w := bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Time{}, patience)
				for range 100 {
					_ = q.Wait(t.Context(), w, func(bool) bool { return true })
				}
				b := time.Now()
				for i, d := range x.join {
					time.AfterFunc(d, func() {
						err := q.Wait(t.Context(), w, func(bool) bool { return time.Since(b) >= x.freed })
						if d := time.Since(b); err != nil || d != x.want[i] {
							t.Errorf("request %d: %v after %v, want room after %v", i, err, d, x.want[i])
						}
					})
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestNarrowWaiter has the first in line find no room, and frees some for those behind it.
func TestNarrowWaiter(t *testing.T) {
	for name, x := range map[string]struct {
		narrow bool
		want   time.Duration // When the second one gets room.
	}{
		"the first one may use any server": {want: 150 * time.Millisecond},
		"the first one leaves servers out": {narrow: true, want: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(&shares{used: map[string]float64{}})
				w := bulrushlug.NewWaiter("s", "a", 1).WithUrgency(0, time.Time{}, 150*time.Millisecond)
				for range 100 {
					_ = q.Wait(t.Context(), w, func(bool) bool { return true })
				}
				b := time.Now()
				go func() { _ = q.Wait(t.Context(), w.WithNarrow(x.narrow), func(bool) bool { return false }) }()
				synctest.Wait()
				time.AfterFunc(50*time.Millisecond, func() { q.Wake("s") })
				err := q.Wait(t.Context(), w.WithUrgency(1, time.Time{}, 150*time.Millisecond), func(bool) bool { return time.Since(b) >= 50*time.Millisecond })
				if d := time.Since(b); err != nil || d != x.want {
					t.Errorf("%v after %v, want room after %v", err, d, x.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
