package daemon

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxLatencyMs      = int64(time.Minute / time.Millisecond)
	significantDigits = 2 // Precision of the histograms.
)

// recorder writes events to the log and keeps latency histograms of requests.
type recorder struct {
	logger    log.Logger
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram // In milliseconds, by outcome.
}

func newRecorder(l log.Logger) *recorder {
	return &recorder{logger: l, latencies: map[string]*hdrhistogram.Histogram{}}
}

// Record writes e to the log.
func (r *recorder) Record(e bulrushlug.Event) {
	l := []any{"event", e.Name(), "request", e.Request()}
	if e.Organisation() != "" {
		l = append(l, "organisation", e.Organisation())
	}
	if e.Job() != "" {
		l = append(l, "lot", e.Job())
	}
	_ = r.logger.Log(append(l, "detail", e.Detail())...)
}

// observe adds latency d of a request with outcome o, at most maxLatencyMs.
func (r *recorder) observe(o string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.latencies[o]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMs, significantDigits)
		r.latencies[o] = h
	}
	_ = h.RecordValue(min(max(1, d.Milliseconds()), maxLatencyMs))
}

// histogramLines returns one line of metrics per outcome.
func (r *recorder) histogramLines() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []string
	for o, h := range r.latencies {
		l = append(l, fmt.Sprintf("requests outcome=%s count=%d p50Ms=%d p95Ms=%d p99Ms=%d maxMs=%d",
			o, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99), h.Max()))
	}
	sort.Strings(l)
	return strings.Join(l, "\n") + "\n"
}
