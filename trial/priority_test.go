package trial

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/admit"
	"bulrushlug.dev/bulrushlug/bounds"
	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/park"
	"bulrushlug.dev/bulrushlug/pipe"
)

const (
	slots       = 16
	token       = 20 * time.Millisecond
	prefill     = 100 * time.Millisecond
	priorityRun = 5 * time.Minute
	batchTokens = 100
)

// firstPiece notes when the first piece of an answer comes.
type firstPiece struct {
	start time.Time
	first time.Duration
}

func (w *firstPiece) Head(int, string) error { return nil }

func (w *firstPiece) Write([]byte) error {
	if w.first == 0 {
		w.first = time.Since(w.start)
	}
	return nil
}

// load is the outcome of one run.
type load struct {
	mu      sync.Mutex
	first   []time.Duration // Times to first token of online requests.
	refused int
	busy    time.Duration // Slot time that online requests used.
	items   int           // Batch items done.
}

func (l *load) p99() time.Duration {
	slices.Sort(l.first)
	return l.first[len(l.first)*99/100]
}

// online sends bursts: for two seconds of every ten, six times as many requests.
func (l *load) online(g bulrushlug.Stage, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var w sync.WaitGroup
	defer w.Wait()
	start := time.Now()
	for i := 0; time.Since(start) < priorityRun; i++ {
		rate := 4.0
		if time.Since(start)%(10*time.Second) < 2*time.Second {
			rate = 24
		}
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		n := 10 + r.IntN(20)
		w.Go(func() { l.ask(g, i, n) })
	}
}

func (l *load) ask(g bulrushlug.Stage, i, n int) {
	q := bulrushlug.NewRequest(fmt.Sprint("online-", i), bulrushlug.WithStream(true), bulrushlug.WithOrganisation(fmt.Sprint("o", i%4)),
		bulrushlug.WithCall(http.MethodPost, "/v1/completions", "", fmt.Appendf(nil, `{"max_tokens":%d,"prompt":"p%d"}`, n, i)))
	k := &firstPiece{start: time.Now()}
	err := g.Run(context.Background(), q, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	l.first = append(l.first, k.first)
	l.busy += prefill + time.Duration(n)*token
}

// batch keeps more items on offer than there are slots.
func (l *load) batch(g bulrushlug.Stage) {
	var w sync.WaitGroup
	defer w.Wait()
	start := time.Now()
	for i := range 2 * slots {
		w.Go(func() {
			for k := 0; time.Since(start) < priorityRun; k++ {
				l.item(g, fmt.Sprintf("item-%d-%d", i, k), start)
			}
		})
	}
}

func (l *load) item(g bulrushlug.Stage, id string, start time.Time) {
	for time.Since(start) < priorityRun {
		q := bulrushlug.NewRequest(id, bulrushlug.WithBatch("job"), bulrushlug.WithOrganisation("b"),
			bulrushlug.WithCall(http.MethodPost, "/v1/completions", "", fmt.Appendf(nil, `{"max_tokens":%d,"prompt":%q}`, batchTokens, id)))
		if g.Run(context.Background(), q, &firstPiece{start: time.Now()}) == nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.items++
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func priorityRunOf(guarded, batch bool) *load {
	e := memlm.New(slots, token, prefill)
	var g bulrushlug.Stage = e
	if guarded {
		m := func() *expvar.Map { return new(expvar.Map).Init() }
		g = pipe.New(e, park.New(m()), admit.New(slots, m()))
	}
	l := &load{}
	var w sync.WaitGroup
	w.Go(func() { l.online(g, 42) })
	if batch {
		w.Go(func() { l.batch(g) })
	}
	w.Wait()
	return l
}

func TestPriority(t *testing.T) {
	bubble(t, func(t *testing.T) {
		alone := priorityRunOf(true, false)
		mixed := priorityRunOf(true, true)
		plain := priorityRunOf(false, true)
		idle := slots*priorityRun - alone.busy
		possible := float64(idle) / float64(prefill+batchTokens*token)
		share := float64(mixed.items) / possible
		t.Logf("time to first token, 99th percentile: alone %v, with batch %v, with batch and no priority %v", alone.p99(), mixed.p99(), plain.p99())
		t.Logf("batch items: %d of %.0f that idle capacity allows (%.3f); without priority %d", mixed.items, possible, share, plain.items)
		t.Logf("online refused: alone %d, with batch %d, without priority %d", alone.refused, mixed.refused, plain.refused)
		for n, l := range map[string]*load{"online alone": alone, "with batch": mixed, "with batch, no priority": plain} {
			measure(t, "online time to first token, 99th percentile, s", n, l.p99().Seconds())
		}
		measure(t, "batch items done", "idle capacity allows", possible)
		measure(t, "batch items done", "with priority", float64(mixed.items))
		measure(t, "batch items done", "no priority", float64(plain.items))
		if float64(mixed.p99()) > bounds.MaxOnlineSlowdown*float64(alone.p99()) {
			t.Errorf("batch raises the 99th percentile from %v to %v", alone.p99(), mixed.p99())
		}
		if share < bounds.BatchShare {
			t.Errorf("batch uses %.3f of the idle capacity", share)
		}
	})
}
