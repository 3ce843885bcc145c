package poison

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// TestServersThatEndTogether guards against a verdict on servers that end together: others end without the part.
func TestServersThatEndTogether(t *testing.T) {
	others := func(d *Detector, n, m int) {
		for i := n; i < m; i++ {
			endServer(d, fmt.Sprint("other-", i), fmt.Sprint("other-part-", i), fmt.Sprint("other-own-", i))
		}
	}
	for name, x := range map[string]struct {
		during func(x *fixture)
		parts  []string
		held   bool
	}{
		"three of twelve":            {during: func(x *fixture) { crashes(x.Detector, 0, 3, "d"); others(x.Detector, 0, 9) }, parts: []string{"d", "o"}},
		"the others are known first": {during: func(x *fixture) { others(x.Detector, 0, 9); crashes(x.Detector, 0, 3, "d") }, parts: []string{"d", "o"}},
		"the others within a short time": {during: func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			time.Sleep(200 * time.Millisecond)
			others(x.Detector, 0, 9)
		}, parts: []string{"d", "o"}},
		"one of ten, six times": {during: func(x *fixture) {
			for i := range 6 {
				crashes(x.Detector, i, i+1, "d")
				others(x.Detector, 9*i, 9*i+9)
				time.Sleep(1300 * time.Millisecond)
			}
		}, parts: []string{"d", "o"}},
		"an item that was at one of ten, three times": {during: func(x *fixture) {
			for i := range 3 {
				endServer(x.Detector, fmt.Sprint("server-", i), "a", "own")
				others(x.Detector, 9*i, 9*i+9)
				time.Sleep(1300 * time.Millisecond)
			}
		}, parts: []string{"a", "own"}},
		"one machine three times": {during: func(x *fixture) {
			for i := range 3 {
				x.RecordBroken(context.Background(), bulrushlug.NewBackend("server", "s", "server:1", bulrushlug.BackendStart(uint64(i+1), 0)), prompt("d", fmt.Sprint("own-", i)))
				time.Sleep(300 * time.Millisecond)
			}
		}, parts: []string{"d", "o"}},
		"a machine with a new identifier each time": {during: func(x *fixture) {
			for i := range 3 {
				x.RecordBroken(context.Background(), bulrushlug.NewBackend(fmt.Sprint("server-", i), "s", "server:1"), prompt("d", fmt.Sprint("own-", i)))
			}
		}, parts: []string{"d", "o"}},
		"one other beside each": {during: func(x *fixture) {
			for i := range 3 {
				crashes(x.Detector, i, i+1, "d")
				others(x.Detector, 1*i, 1*i+1)
				time.Sleep(1300 * time.Millisecond)
			}
		}, parts: []string{"d", "o"}, held: true},
		"two others beside each": {during: func(x *fixture) {
			for i := range 3 {
				crashes(x.Detector, i, i+1, "d")
				others(x.Detector, 2*i, 2*i+2)
				time.Sleep(1300 * time.Millisecond)
			}
		}, parts: []string{"d", "o"}},
		"all that end":       {during: func(x *fixture) { crashes(x.Detector, 0, 12, "d") }, parts: []string{"d", "o"}, held: true},
		"more than are kept": {during: func(x *fixture) { crashes(x.Detector, 0, 3*maxCrashes, "d") }, parts: []string{"d", "o"}, held: true},
		"others long before": {during: func(x *fixture) {
			others(x.Detector, 0, 9)
			time.Sleep(2 * time.Second)
			crashes(x.Detector, 0, 3, "d")
		}, parts: []string{"d", "o"}, held: true},
		"alone each time, and together": {during: func(x *fixture) { oneByOne(x.Detector, 3); others(x.Detector, 0, 9) }, parts: []string{"d", "o"}, held: true},
		"another machine each time, with the same start": {during: func(x *fixture) {
			for i := range 3 {
				x.RecordBroken(context.Background(), bulrushlug.NewBackend(fmt.Sprint("server-", i), "s", fmt.Sprint("server-", i, ":1"), bulrushlug.BackendStart(1, 0)), prompt("d", fmt.Sprint("own-", i)))
			}
		}, parts: []string{"d", "o"}, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				x.during(f)
				if err := f.Check(prompt(x.parts...)); (err != nil) != x.held {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// oneByOne ends n servers on the part d, one every 600 ms.
func oneByOne(d *Detector, n int) {
	for i := range n {
		crashes(d, i, i+1, "d")
		time.Sleep(600 * time.Millisecond)
	}
}

// TestRetryAfterIsSeconds guards against callers that are sent away for longer than the next test takes.
func TestRetryAfterIsSeconds(t *testing.T) {
	for name, during := range map[string]func(x *fixture){
		"three servers":        func(x *fixture) { crashes(x.Detector, 0, 3, "d") },
		"ten servers together": func(x *fixture) { crashes(x.Detector, 0, 10, "d") },
		"another process's":    func(x *fixture) { crashes(x.other, 0, 10, "d"); x.Merge(x.other.Suspects()) },
		"requests in flight":   func(x *fixture) { oneByOne(x.Detector, 6) },
		"a test that is not over": func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			time.Sleep(5 * time.Second)
			_ = x.Check(prompt("d", "test"))
		},
		"a server ends on a test, and one other":  func(x *fixture) { endTest(x, 1) },
		"a server ends on a test, and two others": func(x *fixture) { endTest(x, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				during(f)
				if d := bulrushlug.RetryAfterOf(f.Check(prompt("d", "o"))); d <= 0 || d > 5*time.Second {
					t.Errorf("%v", d)
				}
			})
		})
	}
}

// endTest has the test of a part end a server, and n other servers end beside it.
func endTest(x *fixture, n int) {
	crashes(x.Detector, 0, 3, "d")
	time.Sleep(5 * time.Second)
	_ = x.Check(prompt("d", "test"))
	for i := range n {
		endServer(x.Detector, fmt.Sprint("other-", i), fmt.Sprint("other-part-", i), fmt.Sprint("other-own-", i))
	}
	endServer(x.Detector, "server-3", "d", "test")
}

const (
	simProcesses = 20
	simServers   = 50
	waveInterval = 1300 * time.Millisecond
	waves        = 11
	waveDowntime = 600 * time.Millisecond
)

// simServer is a backend server that can end.
type simServer struct {
	starts int
	ended  chan struct{} // Closed when it ends; replaced when it starts again.
	down   bool
}

// simFleet is a fleet of processes, each with a detector, and of backend servers.
type simFleet struct {
	mu        sync.Mutex
	random    *rand.Rand
	servers   []*simServer
	detectors []*Detector
	deadly    int // Servers that ended on the deadly part.
	checked   int // Sound requests that were checked.
	held      int // Those of them that were held back.
	pending   int // Sound items that have not begun.
}

func newSimFleet(c context.Context, seed uint64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 0))}
	for range simServers {
		f.servers = append(f.servers, &simServer{ended: make(chan struct{})})
	}
	for i := range simProcesses {
		var announced sync.Mutex
		announcing := false
		d := New(f.refuses, func() {
			announced.Lock()
			defer announced.Unlock()
			if announcing {
				return
			}
			announcing = true
			time.AfterFunc(5*time.Millisecond, func() {
				announced.Lock()
				announcing = false
				announced.Unlock()
				f.report(i)
			})
		}, log.NewNopLogger(), new(expvar.Map).Init())
		f.detectors = append(f.detectors, d)
		go func() {
			for bulrushlug.Sleep(c, 300*time.Millisecond) == nil {
				f.report(i)
			}
		}()
	}
	return f
}

// report has process i tell all others what it knows.
func (f *simFleet) report(i int) {
	for j, d := range f.detectors {
		if j != i {
			tell(f.detectors[i], d)
		}
	}
}

// tell has d learn what another detector reports.
func tell(from, d *Detector) {
	d.MergeServerEnds(from.ServerEnds())
	d.Merge(from.Suspects())
}

func (f *simFleet) refuses(_ context.Context, a string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	_, _ = fmt.Sscanf(a, "s%d:1", &n)
	return f.servers[n].down
}

// end ends server n for a while.
func (f *simFleet) end(n int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[n]
	if s.down {
		return
	}
	s.down = true
	close(s.ended)
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.down, s.ended = false, make(chan struct{})
		s.starts++
	})
}

// number returns a random number below n.
func (f *simFleet) number(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// pick returns a server that is up.
func (f *simFleet) pick() (n int, ended chan struct{}, b bulrushlug.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n = f.random.IntN(simServers); f.servers[n].down; n = f.random.IntN(simServers) {
	}
	s := f.servers[n]
	return n, s.ended, bulrushlug.NewBackend(fmt.Sprint("s", n), "s", fmt.Sprintf("s%d:1", n), bulrushlug.BackendStart(uint64(s.starts+1), 0))
}

// run runs a request once, and reports whether its response began.
func (f *simFleet) run(d *Detector, p bulrushlug.Prompt, deadly bool) bool {
	n, ended, b := f.pick()
	select {
	case <-time.After(40*time.Millisecond + time.Duration(f.number(200))*time.Millisecond):
	case <-ended:
		d.RecordBroken(context.Background(), b, p)
		return false
	}
	if deadly {
		f.mu.Lock()
		f.deadly++
		f.mu.Unlock()
		f.end(n, 2*time.Second)
		d.RecordBroken(context.Background(), b, p)
		return false
	}
	d.RecordBegun(p)
	select {
	case <-time.After(500 * time.Millisecond):
	case <-ended:
		d.RecordEnded(context.Background(), b)
	}
	return true
}

// item runs a request until its response has begun, as items of lots are.
func (f *simFleet) item(c context.Context, p bulrushlug.Prompt, deadly bool) {
	d := f.detectors[f.number(simProcesses)]
	if !deadly {
		f.mu.Lock()
		f.pending++
		f.mu.Unlock()
	}
	for c.Err() == nil {
		held := d.Check(p) != nil
		if !deadly {
			f.mu.Lock()
			f.checked++
			if held {
				f.held++
			}
			f.mu.Unlock()
		}
		if !held && f.run(d, p, deadly) {
			break
		}
		_ = bulrushlug.Sleep(c, 200*time.Millisecond)
	}
	if !deadly && c.Err() == nil {
		f.mu.Lock()
		f.pending--
		f.mu.Unlock()
	}
}

// TestFleetWhoseServersEndTogether plays waves of servers that end, in a fleet whose processes tell each other what they
// know, with and without a part of prompts that ends servers.
func TestFleetWhoseServersEndTogether(t *testing.T) {
	for name, x := range map[string]struct {
		waves  int
		deadly time.Duration // Interval between new requests with the deadly part; zero for none.
		ends   [2]int        // Least and most servers that end on the deadly part in a minute.
	}{
		"waves":                   {waves: waves},
		"a deadly part":           {deadly: 300 * time.Millisecond, ends: [2]int{3, 12}},
		"a frequent deadly part":  {deadly: 50 * time.Millisecond, ends: [2]int{3, 24}},
		"waves and a deadly part": {waves: waves, deadly: 300 * time.Millisecond, ends: [2]int{3, 30}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				synctest.Test(t, func(t *testing.T) {
					c, stop := context.WithCancel(t.Context())
					f := newSimFleet(c, seed)
					start := time.Now()
					go func() {
						for range x.waves {
							_ = bulrushlug.Sleep(c, waveInterval)
							for range simServers * 2 / 5 {
								f.end(f.number(simServers), waveDowntime)
							}
						}
					}()
					if x.deadly > 0 {
						go func() {
							for i := 0; bulrushlug.Sleep(c, x.deadly) == nil; i++ {
								go f.item(c, prompt("first-0", "deadly", fmt.Sprint("deadly-own-", i)), true)
							}
						}()
					}
					for lot := 0; time.Since(start) < waves*waveInterval; lot++ {
						for i := range 4 {
							go f.item(c, prompt(fmt.Sprint("first-", f.number(3)), fmt.Sprint("lot-", lot), fmt.Sprint("own-", lot, "-", i)), false)
						}
						time.Sleep(50 * time.Millisecond)
					}
					f.mu.Lock()
					held, checked := f.held, f.checked
					f.mu.Unlock()
					time.Sleep(8 * time.Second)
					f.mu.Lock()
					pending := f.pending
					f.mu.Unlock()
					time.Sleep(time.Minute - time.Since(start))
					f.mu.Lock()
					t.Logf("seed %d: %d of %d checks held, %d items open, %d servers ended on the part", seed, held, checked, pending, f.deadly)
					if float64(held) > 0.05*float64(checked) {
						t.Errorf("seed %d: %d of %d checks held during the waves", seed, held, checked)
					}
					if pending > 0 {
						t.Errorf("seed %d: %d items have not begun 8 s after the last wave", seed, pending)
					}
					if f.deadly < x.ends[0] || f.deadly > x.ends[1] {
						t.Errorf("seed %d: %d servers ended on the deadly part", seed, f.deadly)
					}
					f.mu.Unlock()
					stop()
					synctest.Wait()
					time.Sleep(time.Second)
				})
			}
		})
	}
}

// TestHoldsAreTested counts the requests that a fleet of processes lets through after the first hold of a part, each of
// which has requests with the part waiting.
func TestHoldsAreTested(t *testing.T) {
	for name, x := range map[string]struct {
		begins bool // The first request that passes begins.
		tests  [2]int
		passes bool // Requests pass 10 s after the crashes.
	}{
		"it begins":       {begins: true, tests: [2]int{1, 3}, passes: true},
		"nothing is seen": {tests: [2]int{1, 6}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				f := newSimFleet(c, 1)
				for i := range 3 {
					f.end(i, time.Second)
					f.detectors[i].RecordBroken(c, bulrushlug.NewBackend(fmt.Sprint("s", i), "s", fmt.Sprintf("s%d:1", i)), prompt("d", fmt.Sprint("own-", i)))
				}
				time.Sleep(100 * time.Millisecond)
				tests, begun, running := 0, atomic.Bool{}, map[int]bool{}
				for range 90 {
					for i, d := range f.detectors {
						if p := prompt("d", fmt.Sprint("waiting-", i)); !begun.Load() && !running[i] && d.Check(p) == nil {
							tests++
							running[i] = true
							if x.begins {
								time.AfterFunc(20*time.Millisecond, func() {
									begun.Store(true)
									d.RecordBegun(p)
								})
							}
						}
					}
					time.Sleep(50*time.Millisecond + time.Duration(f.number(10))*time.Millisecond)
				}
				if tests < x.tests[0] || tests > x.tests[1] {
					t.Errorf("%d requests passed", tests)
				}
				for i, d := range f.detectors {
					if x.passes && d.Check(prompt("d", fmt.Sprint("later-", i))) != nil {
						t.Errorf("process %d holds a part that is cleared", i)
					}
				}
				stop()
				synctest.Wait()
				time.Sleep(time.Second)
			})
		})
	}
}
