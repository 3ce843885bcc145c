package slots

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestWaitersAreWoken guards against requests that wait although there is room: nobody frees a slot where a server is new or
// its back-off ends.
func TestWaitersAreWoken(t *testing.T) {
	for name, x := range map[string]struct {
		failures int
		success  bool // The last request succeeds.
		added    bool // A server is new.
		want     []time.Duration
	}{
		"nothing happens":          {},
		"a failure":                {failures: 1, want: []time.Duration{time.Second}},
		"two failures":             {failures: 2, want: []time.Duration{2 * time.Second}},
		"a failure, then it works": {failures: 1, success: true, want: []time.Duration{0, time.Second}},
		"a new server":             {added: true, want: []time.Duration{0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone)
				var got []time.Duration
				begin := time.Now()
				b.OnFree(func(string) { got = append(got, time.Since(begin)) })
				l := []bulrushlug.Backend{backend("a", 8)}
				b.Update(l)
				synctest.Wait()
				r, _ := b.AcquireOnline("s", nil)
				got = nil
				for range x.failures {
					r.RecordFailure()
				}
				if x.success {
					r.RecordSuccess(0)
					r.Release()
				}
				if x.added {
					b.Update(append(l, backend("b", 8)))
				}
				time.Sleep(maxBackoff + time.Second)
				synctest.Wait()
				if !slices.Equal(got, x.want) {
					t.Errorf("woken after %v, want %v", got, x.want)
				}
			})
		})
	}
}
