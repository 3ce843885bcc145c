package daemon

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// serveMetrics serves counters and histograms, if the settings name an address.
func (s *Daemon) serveMetrics(c context.Context) {
	if s.settings.Load().Metrics() == "" {
		return
	}
	m := http.NewServeMux()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		s.counts.Set("storeCalls", number(s.platform.StoreCalls()))
		_, _ = w.Write([]byte(s.counts.String() + "\n" + s.events.histograms()))
	})
	h := &http.Server{Addr: s.settings.Load().Metrics(), Handler: m, ReadHeaderTimeout: time.Second}
	context.AfterFunc(c, func() { _ = h.Close() })
	go func() {
		if err := h.ListenAndServe(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = s.logger.Log("event", "noMetrics", "err", err)
		}
	}()
}

// number is a figure that expvar shows as it is.
type number uint64

// String returns the figure.
func (n number) String() string { return strconv.FormatUint(uint64(n), 10) }
