package cmds

import (
	"context"
	"net/http"
	"time"
)

const metricsTimeout = 5 * time.Second

// getMetrics asks the process whose metrics are at address a for path p, and calls f with the response.
func getMetrics(c context.Context, a, p string, f func(r *http.Response) error) error {
	c, stop := context.WithTimeout(c, metricsTimeout)
	defer stop()
	q, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+a+p, http.NoBody)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return f(r)
}
