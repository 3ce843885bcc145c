package trial

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/admit"
	"bulrushlug.dev/bulrushlug/batch"
	"bulrushlug.dev/bulrushlug/bounds"
	"bulrushlug.dev/bulrushlug/copies"
	"bulrushlug.dev/bulrushlug/jobs"
	"bulrushlug.dev/bulrushlug/memkv"
	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/park"
	"bulrushlug.dev/bulrushlug/pipe"
	"bulrushlug.dev/bulrushlug/repair"
	"bulrushlug.dev/bulrushlug/sched"
	"bulrushlug.dev/bulrushlug/upload"
)

// dataVMs simulates the disks of all data VMs and the VM list; it implements the chunk store and the roster.
type dataVMs struct {
	mu      sync.Mutex
	disks   map[string]map[string][]byte
	down    map[string]bool // Neither the process nor the disk responds.
	full    map[string]bool // Writes fail with KindStorage.
	gone    map[string]bool // Removed from the VM list.
	running map[string]bool // The process is running.
}

func newDataVMs(l ...string) *dataVMs {
	s := &dataVMs{disks: map[string]map[string][]byte{}, down: map[string]bool{}, full: map[string]bool{}, gone: map[string]bool{}, running: map[string]bool{}}
	for _, n := range l {
		s.disks[n] = map[string][]byte{}
	}
	return s
}

// set sets the state m of VM n to v.
func (s *dataVMs) set(m map[string]bool, n string, v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[n] = v
}

var errDown = errors.New("VM does not respond")

func chunkName(f string, n uint32) string { return fmt.Sprint(f, "/", n) }

func (s *dataVMs) Put(_ context.Context, a, f string, n uint32, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down[a]:
		return errDown
	case s.full[a]:
		return bulrushlug.Errorf(bulrushlug.KindStorage, "disk is full")
	}
	s.disks[a][chunkName(f, n)] = bytes.Clone(p)
	return nil
}

func (s *dataVMs) Get(_ context.Context, a, f string, n uint32) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.disks[a][chunkName(f, n)]
	if s.down[a] || !ok {
		return nil, errDown
	}
	return b, nil
}

func (s *dataVMs) Drop(_ context.Context, a, f string, n uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.disks[a], chunkName(f, n))
	return nil
}

// peerProber probes the other processes from the process self.
type peerProber struct {
	*dataVMs
	self string
}

func (x peerProber) Probe(_ context.Context, a string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down[a] || x.down[x.self] || !x.running[a] {
		return errDown
	}
	return nil
}

func (s *dataVMs) Members() (l []bulrushlug.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range []string{"d0", "d1", "d2", "d3"} {
		if _, ok := s.disks[n]; ok && !s.gone[n] {
			l = append(l, bulrushlug.NewMember(n, n, "r", "z"+n[1:], bulrushlug.RoleEntry).WithDataFolder(true))
		}
	}
	return l
}

func (s *dataVMs) Member(n string) (bulrushlug.Member, bool) {
	for _, m := range s.Members() {
		if m.Name() == n {
			return m, true
		}
	}
	return bulrushlug.Member{}, false
}

func (s *dataVMs) Gone(n string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone[n]
}

// staticConfig is a configuration source that never changes and is always fresh.
type staticConfig struct{ f *bulrushlug.Config }

func (x staticConfig) Config() *bulrushlug.Config { return x.f }
func (x staticConfig) Fresh() bool                { return true }
func (x staticConfig) Accepted() uint64           { return 1 }

// batchFleet runs the batch components of a small fleet in virtual time.
type batchFleet struct {
	t             *testing.T
	dataVMs       *dataVMs
	store         *memkv.Store
	jobs          *jobs.Store
	copies        *copies.Replicator
	engine        *memlm.Engine
	stage         bulrushlug.Stage
	source        staticConfig
	stops         map[string]context.CancelFunc
	storeAccesses map[string]*storeAccess
	responses     atomic.Int64
	poisonText    string // Items that contain this text always crash the engine.
}

func newMetrics() *expvar.Map { return new(expvar.Map).Init() }

func newBatchFleet(t *testing.T, names ...string) *batchFleet {
	p := &batchFleet{t: t, dataVMs: newDataVMs(names...), store: memkv.New(), engine: memlm.New(slots, tokenInterval, 0), stops: map[string]context.CancelFunc{}, storeAccesses: map[string]*storeAccess{}}
	f, err := bulrushlug.NewConfig().Apply(bulrushlug.NewChange("1", "t", bulrushlug.NewModel("m", "1", "")).WithRevision(1))
	if err == nil {
		f, err = f.Apply(bulrushlug.NewChange("2", "t", org("fog", 1, 1)).WithRevision(2))
	}
	if err != nil {
		t.Fatal(err)
	}
	p.source = staticConfig{f: f}
	p.jobs = jobs.New(p.store)
	p.copies = copies.New(p.dataVMs, p.dataVMs, 3)
	q := pipe.New(p.engine, park.New(newMetrics()), admit.New(slots, newMetrics()))
	p.stage = bulrushlug.StageFunc(func(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
		if p.poisonText != "" && bytes.Contains(r.Body(), []byte(p.poisonText)) {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "engine crashed")
		}
		return q.Run(c, r, variablePadding{s, int(p.responses.Add(1))})
	})
	return p
}

// variablePadding appends spaces to the response so that repeated executions of an item differ, as those of real engines do.
type variablePadding struct {
	bulrushlug.Sink
	n int
}

func (u variablePadding) Write(b []byte) error {
	return u.Sink.Write(append(bytes.Clone(b), strings.Repeat(" ", u.n%17)...))
}

// start runs the batch and repair processes of VM n.
func (p *batchFleet) start(n string) {
	c, stop := context.WithCancel(context.Background())
	p.storeAccesses[n] = &storeAccess{Store: p.store}
	j := jobs.New(p.storeAccesses[n])
	r := batch.New(n,
		batch.WithPipe(p.stage, sched.New(func() int { return 2 * slots })),
		batch.WithStores(j, p.copies),
		batch.WithMembership(p.source, p.dataVMs, peerProber{p.dataVMs, n}),
		batch.WithTelemetry(nopRecorder{}, newMetrics()))
	go func() { _ = r.Run(c) }()
	go func() {
		_ = repair.New(n, j, p.copies, p.dataVMs, 24*time.Hour, nopRecorder{}, newMetrics()).Run(c)
	}()
	p.dataVMs.set(p.dataVMs.running, n, true)
	p.stops[n] = func() {
		p.dataVMs.set(p.dataVMs.running, n, false)
		stop()
	}
}

// kill makes the process and the disk of VM n unreachable; its own goroutines go on, as behind a network partition.
func (p *batchFleet) kill(n string) { p.dataVMs.set(p.dataVMs.down, n, true) }

// close stops all processes and waits until their goroutines have ended.
func (p *batchFleet) close() {
	for _, f := range p.stops {
		f()
	}
	p.store.SetOutage(false)
	time.Sleep(time.Minute)
}

// submit uploads a file of n items and creates a job over it with the idempotency key k.
func (p *batchFleet) submit(n int, k string) (bulrushlug.Job, error) {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"m","max_tokens":5,"prompt":"item-%d."}}`+"\n", i, i)
	}
	c := context.Background()
	f, err := upload.New(p.copies).Save(c, "fog", "f", upload.PurposeBatch, strings.NewReader(b.String()))
	if err != nil {
		return bulrushlug.Job{}, err
	}
	if err := p.jobs.AddFile(c, f); err != nil {
		return bulrushlug.Job{}, err
	}
	return p.create(f, k)
}

// create creates a job over the file f with the idempotency key k.
func (p *batchFleet) create(f bulrushlug.File, k string) (bulrushlug.Job, error) {
	t := time.Now()
	return p.jobs.Create(context.Background(), bulrushlug.NewJob(jobs.ID("fog", k), "fog", f.ID(), "/v1/completions",
		bulrushlug.JobTimes(t, t.Add(time.Hour), time.Time{}), bulrushlug.JobItems(f.Items(), nil)))
}

// job reads job i, and retries until the store responds.
func (p *batchFleet) job(i string) (x bulrushlug.Job) {
	for {
		x, err := p.jobs.Job(context.Background(), "fog", i)
		if err == nil {
			return x
		}
		time.Sleep(time.Second)
	}
}

// await waits until job i is final, and fails the test after d.
func (p *batchFleet) await(i string, d time.Duration) bulrushlug.Job {
	for end := time.Now().Add(d); ; time.Sleep(500 * time.Millisecond) {
		x := p.job(i)
		if x.Status().Final() {
			return x
		}
		if time.Now().After(end) {
			p.t.Fatalf("job is %s after %v: results of %d chunks, %d items in total", x.Status(), d, len(x.Results()), x.Items())
		}
	}
}

// check reads all results of x and checks that each item occurs once and that the counts of the job record match.
func (p *batchFleet) check(x bulrushlug.Job, items, failed int) {
	seen := map[string]int{}
	read := func(q bulrushlug.ChunkRef) (n int) {
		if len(q.VMs()) == 0 {
			return 0
		}
		b, err := p.copies.Get(context.Background(), q)
		if err != nil {
			p.t.Errorf("read result: %v", err)
			return 0
		}
		for _, l := range strings.Split(strings.TrimSpace(string(b)), "\n") {
			seen[gjson.Get(l, "custom_id").String()]++
			n++
		}
		return n
	}
	a, b := 0, 0
	for _, r := range x.Results() {
		a += read(r.Output())
		b += read(r.Errors())
	}
	if c, d := x.Counts(); int(c) != a || int(d) != b || b != failed {
		p.t.Errorf("job record counts %d done and %d failed, results contain %d and %d; want %d failed", c, d, a, b, failed)
	}
	for i := range items {
		if n := seen[fmt.Sprint("c", i)]; n != 1 {
			p.t.Errorf("item c%d occurs %d times in the results", i, n)
		}
	}
}

// batchFaults are the faults injected while a job runs, by subtest name.
var batchFaults = map[string]func(p *batchFleet, x bulrushlug.Job){
	"none": func(*batchFleet, bulrushlug.Job) {},
	"ownerKilled": func(p *batchFleet, x bulrushlug.Job) {
		n := p.owner(x)
		p.kill(n)
		p.storeAccesses[n].blocked.Store(true)
	},
	"ownerCutOffFromPeers": func(p *batchFleet, x bulrushlug.Job) { p.kill(p.owner(x)) },
	"ownerCutOff": func(p *batchFleet, x bulrushlug.Job) {
		n := p.owner(x)
		p.kill(n)
		time.Sleep(15 * time.Second)
		p.dataVMs.set(p.dataVMs.down, n, false)
	},
	"ownerStops": func(p *batchFleet, x bulrushlug.Job) { p.stops[p.owner(x)]() },
	"storeOut": func(p *batchFleet, _ bulrushlug.Job) {
		p.store.SetOutage(true)
		time.Sleep(10 * time.Minute)
		p.store.SetOutage(false)
	},
	"storeSlow":     func(p *batchFleet, _ bulrushlug.Job) { p.store.SetDelay(800 * time.Millisecond) },
	"lostResponses": func(p *batchFleet, _ bulrushlug.Job) { p.store.DropResponses(10) },
	"diskFull":      func(p *batchFleet, _ bulrushlug.Job) { p.dataVMs.set(p.dataVMs.full, "d1", true) },
	"twoDisksFull": func(p *batchFleet, _ bulrushlug.Job) {
		p.dataVMs.set(p.dataVMs.full, "d1", true)
		p.dataVMs.set(p.dataVMs.full, "d2", true)
	},
	"twoDataVMsLost": func(p *batchFleet, x bulrushlug.Job) {
		p.removePermanently("d0")
		p.removePermanently("d2")
	},
	"engineBreaks": func(p *batchFleet, _ bulrushlug.Job) {
		p.engine.SetOutage(true)
		time.Sleep(20 * time.Second)
		p.engine.SetOutage(false)
	},
	"ownerKilledInOutage": func(p *batchFleet, x bulrushlug.Job) {
		n := p.owner(x)
		p.store.SetOutage(true)
		p.kill(n)
		time.Sleep(2 * time.Minute)
		p.store.SetOutage(false)
	},
	"ownerKilledAndResponsesLost": func(p *batchFleet, x bulrushlug.Job) {
		p.kill(p.owner(x))
		p.store.DropResponses(5)
	},
}

// removePermanently kills VM n and removes it from the VM list.
func (p *batchFleet) removePermanently(n string) {
	p.kill(n)
	p.dataVMs.set(p.dataVMs.gone, n, true)
}

// owner waits until job x has an owner, and returns its VM.
func (p *batchFleet) owner(x bulrushlug.Job) string {
	for {
		if n := p.job(x.ID()).Owner(); n != "" {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestBatchUnderFaults checks that a job completes with every item exactly once in its results under each fault, and
// that creating it again with the same idempotency key returns the same job.
func TestBatchUnderFaults(t *testing.T) {
	const items = 1500
	for name, fault := range batchFaults {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newBatchFleet(t, "d0", "d1", "d2", "d3")
				defer p.close()
				for _, n := range []string{"d0", "d1", "d2", "d3"} {
					p.start(n)
				}
				x, err := p.submit(items, "evening")
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(4 * time.Second)
				fault(p, x)
				y, err := p.submit(items, "evening")
				if err != nil || y.ID() != x.ID() || y.Input() != x.Input() {
					t.Errorf("retried creation returned a different job: %v", err)
				}
				x = p.await(x.ID(), 20*time.Minute)
				time.Sleep(time.Minute)
				p.check(p.job(x.ID()), items, 0)
				p.logStats(t, items)
			})
		})
	}
}

// logStats logs the number of executions and of calls on the key-value service.
func (p *batchFleet) logStats(t *testing.T, items int) {
	started, finished := 0, 0
	p.engine.ForEachRequest(func(_ string, s, f, _, _ uint32) {
		started += int(s)
		finished += int(f)
	})
	r, w := p.store.Calls()
	t.Logf("items %d, started %d, finished %d; reads %d, writes %d", items, started, finished, r, w)
}

// TestPoisonItem checks that an item that always crashes the engine fails alone and does not block its job.
func TestPoisonItem(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		defer p.close()
		p.poisonText = "item-77."
		p.start("d0")
		x, err := p.submit(600, "k")
		if err != nil {
			t.Fatal(err)
		}
		x = p.await(x.ID(), 5*time.Minute)
		p.check(x, 600, 1)
	})
}

// TestCancelledJob checks that a job whose owner was lost can be cancelled: it becomes final, keeps the results so far
// and stops its items.
func TestCancelledJob(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		defer p.close()
		p.start("d0")
		p.start("d1")
		x, err := p.submit(5000, "k")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(12 * time.Second)
		p.kill(p.owner(x))
		at := time.Now()
		if _, err := p.jobs.Cancel(context.Background(), "fog", x.ID()); err != nil {
			t.Fatal(err)
		}
		x = p.await(x.ID(), time.Minute)
		t.Logf("%s after %v although the owner was lost", x.Status(), time.Since(at))
		done, _ := x.Counts()
		if x.Status() != bulrushlug.StatusCancelled || done == 0 {
			t.Errorf("job is %s with %d results", x.Status(), done)
		}
		time.Sleep(10 * time.Second)
		if n, _ := p.engine.Active(); n > 0 {
			t.Errorf("%d items are still running", n)
		}
	})
}

// TestDataVMsLostAfterAcceptance checks that an accepted job survives the immediate loss of two of the three VMs with
// its input.
func TestDataVMsLostAfterAcceptance(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		defer p.close()
		x, err := p.submit(600, "k")
		if err != nil {
			t.Fatal(err)
		}
		p.removePermanently("d0")
		p.removePermanently("d1")
		p.start("d2")
		x = p.await(x.ID(), 5*time.Minute)
		p.check(x, 600, 0)
	})
}

// TestNoDataVM checks that a job is rejected as not executed if its input can't be replicated to enough data VMs.
func TestNoDataVM(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		for _, n := range []string{"d0", "d1"} {
			p.kill(n)
		}
		_, err := p.submit(10, "k")
		if k := bulrushlug.KindOf(err); k != bulrushlug.KindStorage || k.Response().MayHaveRun() {
			t.Errorf("job with its input on one of three data VMs: got error %v", err)
		}
	})
}

// TestBatchCost measures how the calls on the key-value service grow with the number of items and jobs.
func TestBatchCost(t *testing.T) {
	sizes := map[string]struct{ items, jobs int }{
		"100 items":             {items: 100, jobs: 1},
		"10000 items":           {items: 10000, jobs: 1},
		"40000 items":           {items: 40000, jobs: 1},
		"40 jobs of 1000 items": {items: 1000, jobs: 40},
	}
	for name, x := range sizes {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := newBatchFleet(t, "d0", "d1", "d2")
				defer p.close()
				p.start("d0")
				r0, w0 := p.store.Calls()
				var l []string
				for i := range x.jobs {
					j, err := p.submit(x.items, fmt.Sprint(i))
					if err != nil {
						t.Fatal(err)
					}
					l = append(l, j.ID())
				}
				for _, i := range l {
					p.await(i, 3*time.Hour)
				}
				r1, w1 := p.store.Calls()
				n := float64(x.items * x.jobs)
				perItem := float64(w1-w0) / n
				perSecond := perItem * bounds.BatchItemsPerDay / (24 * time.Hour).Seconds()
				t.Logf("writes %d (%.5f per item, %.1f per job), reads %d; at the target %.1f writes/s",
					w1-w0, perItem, float64(w1-w0)/float64(x.jobs), r1-r0, perSecond)
				reportMeasure(t, "batch: writes on the key-value service per item", name, perItem)
				if x.items >= 10000 && perSecond > bounds.MaxStoreWritesPerSecond {
					t.Errorf("%.1f writes/s at the target", perSecond)
				}
			})
		})
	}
}

// TestPausedOwnerResumes checks that no item is duplicated when an owner is cut off, is replaced, and then keeps
// running at the same time as its successor.
func TestPausedOwnerResumes(t *testing.T) {
	const items = 5000
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2", "d3")
		defer p.close()
		for _, n := range []string{"d0", "d1", "d2", "d3"} {
			p.start(n)
		}
		x, err := p.submit(items, "k")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		n := p.owner(x)
		p.kill(n)
		p.storeAccesses[n].blocked.Store(true)
		time.Sleep(20 * time.Second)
		p.dataVMs.set(p.dataVMs.down, n, false)
		p.storeAccesses[n].blocked.Store(false)
		x = p.await(x.ID(), 20*time.Minute)
		time.Sleep(time.Minute)
		p.check(p.job(x.ID()), items, 0)
		p.logStats(t, items)
	})
}
