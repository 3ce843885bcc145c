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
	slots           = 16                     // Slots of one engine.
	tokenInterval   = 20 * time.Millisecond  // Engine time per token.
	prefillTime     = 100 * time.Millisecond // Engine time before the first token.
	priorityRunTime = 5 * time.Minute        // Duration of the load in one run.
	batchTokens     = 100                    // Completion length of a batch item.
)

// firstByteSink records the time to the first byte of a response.
type firstByteSink struct {
	start time.Time
	first time.Duration
}

func (w *firstByteSink) Head(int, string) error { return nil }

func (w *firstByteSink) Write([]byte) error {
	if w.first == 0 {
		w.first = time.Since(w.start)
	}
	return nil
}

// loadResult collects the outcome of one run.
type loadResult struct {
	mu              sync.Mutex
	firstTokenTimes []time.Duration // Of successful online requests.
	refused         int
	busySlotTime    time.Duration // Total slot time used by online requests.
	itemsDone       int           // Completed batch items.
}

// p99 returns the 99th percentile of the time to first token.
func (l *loadResult) p99() time.Duration {
	slices.Sort(l.firstTokenTimes)
	return l.firstTokenTimes[len(l.firstTokenTimes)*99/100]
}

// runOnline sends online requests with Poisson arrivals, at six times the base rate for two of every ten seconds.
func (l *loadResult) runOnline(g bulrushlug.Stage, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var w sync.WaitGroup
	defer w.Wait()
	start := time.Now()
	for i := 0; time.Since(start) < priorityRunTime; i++ {
		rate := 4.0
		if time.Since(start)%(10*time.Second) < 2*time.Second {
			rate = 24
		}
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		n := 10 + r.IntN(20)
		w.Go(func() { l.sendOnline(g, i, n) })
	}
}

// sendOnline sends one online request for n tokens.
func (l *loadResult) sendOnline(g bulrushlug.Stage, i, n int) {
	q := bulrushlug.NewRequest(fmt.Sprint("online-", i), bulrushlug.WithStream(true), bulrushlug.WithOrganisation(fmt.Sprint("o", i%4)),
		bulrushlug.WithCall(http.MethodPost, "/v1/completions", "", fmt.Appendf(nil, `{"max_tokens":%d,"prompt":"p%d"}`, n, i)))
	k := &firstByteSink{start: time.Now()}
	err := g.Run(context.Background(), q, k)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	l.firstTokenTimes = append(l.firstTokenTimes, k.first)
	l.busySlotTime += prefillTime + time.Duration(n)*tokenInterval
}

// runBatch keeps twice as many batch items in flight as there are slots.
func (l *loadResult) runBatch(g bulrushlug.Stage) {
	var w sync.WaitGroup
	defer w.Wait()
	start := time.Now()
	for i := range 2 * slots {
		w.Go(func() {
			for k := 0; time.Since(start) < priorityRunTime; k++ {
				l.runItem(g, fmt.Sprintf("item-%d-%d", i, k), start)
			}
		})
	}
}

// runItem retries one batch item until it succeeds or the run ends.
func (l *loadResult) runItem(g bulrushlug.Stage, id string, start time.Time) {
	for time.Since(start) < priorityRunTime {
		q := bulrushlug.NewRequest(id, bulrushlug.WithBatch("job"), bulrushlug.WithOrganisation("b"),
			bulrushlug.WithCall(http.MethodPost, "/v1/completions", "", fmt.Appendf(nil, `{"max_tokens":%d,"prompt":%q}`, batchTokens, id)))
		if g.Run(context.Background(), q, &firstByteSink{start: time.Now()}) == nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.itemsDone++
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runPriorityLoad runs online load, and batch load if asked for, with or without priority admission before the engine.
func runPriorityLoad(priority, batch bool) *loadResult {
	e := memlm.New(slots, tokenInterval, prefillTime)
	var g bulrushlug.Stage = e
	if priority {
		m := func() *expvar.Map { return new(expvar.Map).Init() }
		g = pipe.New(e, park.New(m()), admit.New(slots, m()))
	}
	l := &loadResult{}
	var w sync.WaitGroup
	w.Go(func() { l.runOnline(g, 42) })
	if batch {
		w.Go(func() { l.runBatch(g) })
	}
	w.Wait()
	return l
}

// TestPriority checks that saturating batch load raises the 99th percentile of the online time to first token by no
// more than the bound, and still uses most of the idle capacity.
func TestPriority(t *testing.T) {
	bubble(t, func(t *testing.T) {
		alone := runPriorityLoad(true, false)
		mixed := runPriorityLoad(true, true)
		noPriority := runPriorityLoad(false, true)
		idle := slots*priorityRunTime - alone.busySlotTime
		possible := float64(idle) / float64(prefillTime+batchTokens*tokenInterval)
		share := float64(mixed.itemsDone) / possible
		t.Logf("time to first token, 99th percentile: alone %v, with batch %v, with batch and no priority %v", alone.p99(), mixed.p99(), noPriority.p99())
		t.Logf("batch items: %d of %.0f that idle capacity allows (%.3f); without priority %d", mixed.itemsDone, possible, share, noPriority.itemsDone)
		t.Logf("online rejected: alone %d, with batch %d, without priority %d", alone.refused, mixed.refused, noPriority.refused)
		for n, l := range map[string]*loadResult{"online alone": alone, "with batch": mixed, "with batch, no priority": noPriority} {
			reportMeasure(t, "online time to first token, 99th percentile, s", n, l.p99().Seconds())
		}
		reportMeasure(t, "batch items done", "idle capacity allows", possible)
		reportMeasure(t, "batch items done", "with priority", float64(mixed.itemsDone))
		reportMeasure(t, "batch items done", "no priority", float64(noPriority.itemsDone))
		if float64(mixed.p99()) > bounds.MaxOnlineSlowdown*float64(alone.p99()) {
			t.Errorf("batch load raises the 99th percentile of the time to first token from %v to %v", alone.p99(), mixed.p99())
		}
		if share < bounds.MinBatchShare {
			t.Errorf("batch load uses only %.3f of the idle capacity", share)
		}
	})
}
