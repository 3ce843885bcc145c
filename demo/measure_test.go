package demo

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/simlm"
)

const shortAnswer = `{"model":"visitor-guide","max_tokens":1,"messages":[]}`

// timings sends n requests by w workers and returns their times, sorted.
func timings(b *testing.B, u, k string, n, w int) []time.Duration {
	l := make([]time.Duration, n)
	var g sync.WaitGroup
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: w}}
	for i := range w {
		g.Go(func() {
			for j := i; j < n; j += w {
				t := time.Now()
				q, _ := http.NewRequest(http.MethodPost, u+"/v1/chat/completions", strings.NewReader(shortAnswer))
				q.Header.Set("Authorization", "Bearer "+k)
				r, err := h.Do(q)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
				if r.StatusCode != http.StatusOK {
					b.Errorf("status %d", r.StatusCode)
				}
				l[j] = time.Since(t)
			}
		})
	}
	g.Wait()
	slices.Sort(l)
	return l
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency compares requests through entry and agent with the same requests to a stand-in engine.
func BenchmarkAddedLatency(b *testing.B) {
	d, k := fleet(b, io.Discard)
	if _, err := d.operate(context.Background(), "org", "set", "--rate", "100000", "--burst", "100000", "zvonik"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	c, stop := context.WithCancel(context.Background())
	defer stop()
	direct, err := d.serve(c, simlm.New(memlm.New(engineSlots, token, prefill)))
	if err != nil {
		b.Fatal(err)
	}
	const n, w = 2000, 8
	timings(b, direct, k, 100, w)
	x := timings(b, direct, k, n, w)
	t := cpu()
	y := timings(b, d.entries[0], k, n, w)
	t = cpu() - t
	b.ReportMetric(float64((y[n/2] - x[n/2]).Microseconds()), "added-us-p50")
	b.ReportMetric(float64((y[n*99/100] - x[n*99/100]).Microseconds()), "added-us-p99")
	b.ReportMetric(float64(n)/t.Seconds(), "requests/core-s")
}

// BenchmarkOpenStreams reports the memory of entry, agent, stand-ins and callers for each open stream.
func BenchmarkOpenStreams(b *testing.B) {
	d, k := fleet(b, io.Discard)
	if _, err := d.operate(context.Background(), "org", "set", "--rate", "100000", "--burst", "100000", "zvonik"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	before := inUse()
	const n = 60
	var g sync.WaitGroup
	for range n {
		g.Go(func() {
			r, err := send(context.Background(), http.MethodPost, d.entries[0]+"/v1/chat/completions", k, "application/json",
				[]byte(`{"model":"visitor-guide","stream":true,"max_tokens":200,"messages":[]}`))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		})
	}
	time.Sleep(time.Second)
	b.ReportMetric(float64(inUse()-before)/n/1024, "KB/stream")
	g.Wait()
}

func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
