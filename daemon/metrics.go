package daemon

import (
	"context"
	"errors"
	"net/http"
	"strconv"
)

// serveMetrics serves counters and histograms until c ends, if the settings name an address for them.
func (s *Daemon) serveMetrics(c context.Context) {
	if s.settings.Load().Metrics() == "" {
		return
	}
	m := http.NewServeMux()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		s.counters.Set("storeCalls", counterValue(s.platform.StoreCalls()))
		s.counters.Set("responseBytesHeld", counterValue(s.memory.Used()))
		s.counters.Set("responseBytesRefused", counterValue(s.memory.Refused()))
		s.setEvacuationMetrics()
		s.counters.Set("serversCold", counterValue(s.gate.Cold()))
		s.leavingCounts.Set("lastResorts", counterValue(s.slotTable.LastResorts()))
		_, _ = w.Write([]byte(s.counters.String() + "\n" + s.recorder.histogramLines()))
	})
	m.HandleFunc("/explain", s.serveExplanation)
	m.HandleFunc("/servers", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_ = s.slotTable.WriteState(w)
	})
	h := s.probeServer(m)
	context.AfterFunc(c, func() { _ = h.Close() })
	go func() {
		if err := s.listenProbes(c, h, s.settings.Load().Metrics()); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) {
			_ = s.logger.Log("event", "noMetrics", "err", err)
		}
	}()
}

// counterValue is an expvar.Var that shows a number.
type counterValue uint64

// String returns the number in decimal.
func (n counterValue) String() string { return strconv.FormatUint(uint64(n), 10) }
