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

// shortRequest requests a completion of a single token.
const shortRequest = `{"model":"visitor-guide","max_tokens":1,"messages":[]}`

// measureLatencies sends n requests from w concurrent workers and returns their latencies in rising order.
func measureLatencies(b *testing.B, u, k string, n, w int) []time.Duration {
	l := make([]time.Duration, n)
	var g sync.WaitGroup
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: w}}
	for i := range w {
		g.Go(func() {
			for j := i; j < n; j += w {
				t := time.Now()
				q, _ := http.NewRequest(http.MethodPost, u+"/v1/chat/completions", strings.NewReader(shortRequest))
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

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency compares requests through entry and agent with the same requests sent directly to a simulated engine.
func BenchmarkAddedLatency(b *testing.B) {
	d, k := startFleet(b, io.Discard)
	if _, err := d.runCommand(context.Background(), "org", "set", "--rate", "100000", "--burst", "100000", "zvonik"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	c, stop := context.WithCancel(context.Background())
	defer stop()
	direct, err := d.serveHTTP(c, simlm.New(memlm.New(engineSlots, tokenInterval, prefillTime)))
	if err != nil {
		b.Fatal(err)
	}
	const n, w = 2000, 8
	measureLatencies(b, direct, k, 100, w)
	x := measureLatencies(b, direct, k, n, w)
	t := cpuTime()
	y := measureLatencies(b, d.entries[0], k, n, w)
	t = cpuTime() - t
	b.ReportMetric(float64((y[n/2] - x[n/2]).Microseconds()), "added-us-p50")
	b.ReportMetric(float64((y[n*99/100] - x[n*99/100]).Microseconds()), "added-us-p99")
	b.ReportMetric(float64(n)/t.Seconds(), "requests/core-s")
}

// BenchmarkOpenStreams measures the memory per open stream of entry, agent, simulated services and clients together.
func BenchmarkOpenStreams(b *testing.B) {
	d, k := startFleet(b, io.Discard)
	if _, err := d.runCommand(context.Background(), "org", "set", "--rate", "100000", "--burst", "100000", "zvonik"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	before := memoryInUse()
	const n = 60
	var g sync.WaitGroup
	for range n {
		g.Go(func() {
			r, err := sendRequest(context.Background(), http.MethodPost, d.entries[0]+"/v1/chat/completions", k, "application/json",
				[]byte(`{"model":"visitor-guide","stream":true,"max_tokens":200,"messages":[]}`))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
			}
		})
	}
	time.Sleep(time.Second)
	b.ReportMetric(float64(memoryInUse()-before)/n/1024, "KB/stream")
	g.Wait()
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
