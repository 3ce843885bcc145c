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

// dataVMs is the disks of all data VMs, and their roster.
type dataVMs struct {
	mu    sync.Mutex
	disks map[string]map[string][]byte
	down  map[string]bool // Neither process nor disk answers.
	full  map[string]bool
	gone  map[string]bool // Off the VM list.
	runs  map[string]bool // The process runs.
}

func newDataVMs(l ...string) *dataVMs {
	s := &dataVMs{disks: map[string]map[string][]byte{}, down: map[string]bool{}, full: map[string]bool{}, gone: map[string]bool{}, runs: map[string]bool{}}
	for _, n := range l {
		s.disks[n] = map[string][]byte{}
	}
	return s
}

func (s *dataVMs) set(m map[string]bool, n string, v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[n] = v
}

var errDown = errors.New("no answer")

func chunkKey(f string, n uint32) string { return fmt.Sprint(f, "/", n) }

func (s *dataVMs) Put(_ context.Context, a, f string, n uint32, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down[a]:
		return errDown
	case s.full[a]:
		return bulrushlug.Errorf(bulrushlug.KindStorage, "the disk is full")
	}
	s.disks[a][chunkKey(f, n)] = bytes.Clone(p)
	return nil
}

func (s *dataVMs) Get(_ context.Context, a, f string, n uint32) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.disks[a][chunkKey(f, n)]
	if s.down[a] || !ok {
		return nil, errDown
	}
	return b, nil
}

func (s *dataVMs) Drop(_ context.Context, a, f string, n uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.disks[a], chunkKey(f, n))
	return nil
}

// prober is one process's view of the others.
type prober struct {
	*dataVMs
	self string
}

func (x prober) Probe(_ context.Context, a string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down[a] || x.down[x.self] || !x.runs[a] {
		return errDown
	}
	return nil
}

func (s *dataVMs) Members() (l []bulrushlug.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range []string{"d0", "d1", "d2", "d3"} {
		if _, ok := s.disks[n]; ok && !s.gone[n] {
			l = append(l, bulrushlug.NewMember(n, n, "r", "z"+n[1:], bulrushlug.RoleEntry).WithData(true))
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

// fixed is a configuration that does not change.
type fixed struct{ f *bulrushlug.Config }

func (x fixed) Config() *bulrushlug.Config { return x.f }
func (x fixed) Fresh() bool                { return true }
func (x fixed) Accepted() uint64           { return 1 }

// batchFleet is the batch side of a small fleet.
type batchFleet struct {
	t        *testing.T
	dataVMs  *dataVMs
	table    *memkv.Store
	jobs     *jobs.Store
	copies   *copies.Replicator
	engine   *memlm.Engine
	stage    bulrushlug.Stage
	source   fixed
	stops    map[string]context.CancelFunc
	accesses map[string]*storeAccess
	answers  atomic.Int64
	poison   string // Items with this text always break.
}

func counts() *expvar.Map { return new(expvar.Map).Init() }

func newBatchFleet(t *testing.T, names ...string) *batchFleet {
	p := &batchFleet{t: t, dataVMs: newDataVMs(names...), table: memkv.New(), engine: memlm.New(slots, token, 0), stops: map[string]context.CancelFunc{}, accesses: map[string]*storeAccess{}}
	f, err := bulrushlug.NewConfig().Apply(bulrushlug.NewChange("1", "t", bulrushlug.NewModel("m", "1", "")).WithRevision(1))
	if err == nil {
		f, err = f.Apply(bulrushlug.NewChange("2", "t", org("fog", 1, 1)).WithRevision(2))
	}
	if err != nil {
		t.Fatal(err)
	}
	p.source = fixed{f: f}
	p.jobs = jobs.New(p.table)
	p.copies = copies.New(p.dataVMs, p.dataVMs, 3)
	q := pipe.New(p.engine, park.New(counts()), admit.New(slots, counts()))
	p.stage = bulrushlug.StageFunc(func(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
		if p.poison != "" && bytes.Contains(r.Body(), []byte(p.poison)) {
			return bulrushlug.Errorf(bulrushlug.KindBroken, "engine crashed")
		}
		return q.Run(c, r, unequal{s, int(p.answers.Add(1))})
	})
	return p
}

// unequal makes the answers to one item differ from run to run, as those of engines do.
type unequal struct {
	bulrushlug.Sink
	n int
}

func (u unequal) Write(b []byte) error {
	return u.Sink.Write(append(bytes.Clone(b), strings.Repeat(" ", u.n%17)...))
}

// start runs the process on VM n.
func (p *batchFleet) start(n string) {
	c, stop := context.WithCancel(context.Background())
	p.accesses[n] = &storeAccess{Store: p.table}
	j := jobs.New(p.accesses[n])
	r := batch.New(n,
		batch.WithPipe(p.stage, sched.New(func() int { return 2 * slots })),
		batch.WithStores(j, p.copies),
		batch.WithMembership(p.source, p.dataVMs, prober{p.dataVMs, n}),
		batch.WithTelemetry(noRecorder{}, counts()))
	go func() { _ = r.Run(c) }()
	go func() {
		_ = repair.New(n, j, p.copies, p.dataVMs, 24*time.Hour, noRecorder{}, counts()).Run(c)
	}()
	p.dataVMs.set(p.dataVMs.runs, n, true)
	p.stops[n] = func() {
		p.dataVMs.set(p.dataVMs.runs, n, false)
		stop()
	}
}

// kill takes the process and the disk of VM n away; the process's own goroutines go on, as of one that is cut off.
func (p *batchFleet) kill(n string) { p.dataVMs.set(p.dataVMs.down, n, true) }

func (p *batchFleet) close() {
	for _, f := range p.stops {
		f()
	}
	p.table.SetOutage(false)
	time.Sleep(time.Minute)
}

// submit uploads n items and creates a job with idempotency key k.
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

func (p *batchFleet) create(f bulrushlug.File, k string) (bulrushlug.Job, error) {
	t := time.Now()
	return p.jobs.Create(context.Background(), bulrushlug.NewJob(jobs.ID("fog", k), "fog", f.ID(), "/v1/completions",
		bulrushlug.JobTimes(t, t.Add(time.Hour), time.Time{}), bulrushlug.JobItems(f.Items(), nil)))
}

func (p *batchFleet) job(i string) (x bulrushlug.Job) {
	for {
		x, err := p.jobs.Job(context.Background(), "fog", i)
		if err == nil {
			return x
		}
		time.Sleep(time.Second)
	}
}

// await waits until job i is final, and returns it.
func (p *batchFleet) await(i string, d time.Duration) bulrushlug.Job {
	for end := time.Now().Add(d); ; time.Sleep(500 * time.Millisecond) {
		x := p.job(i)
		if x.Status().Final() {
			return x
		}
		if time.Now().After(end) {
			p.t.Fatalf("job is %s after %v: %d of %d chunks", x.Status(), d, len(x.Results()), x.Items())
		}
	}
}

// check reads all results of x: each item stands there once, and the counts of the record match.
func (p *batchFleet) check(x bulrushlug.Job, items, failed int) {
	seen := map[string]int{}
	read := func(q bulrushlug.ChunkRef) (n int) {
		if len(q.VMs()) == 0 {
			return 0
		}
		b, err := p.copies.Get(context.Background(), q)
		if err != nil {
			p.t.Errorf("a result is not readable: %v", err)
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
		p.t.Errorf("the record says %d done, %d failed; the results say %d, %d; wanted %d failed", c, d, a, b, failed)
	}
	for i := range items {
		if n := seen[fmt.Sprint("c", i)]; n != 1 {
			p.t.Errorf("item c%d stands %d times in the results", i, n)
		}
	}
}

var batchFaults = map[string]func(p *batchFleet, x bulrushlug.Job){
	"none": func(*batchFleet, bulrushlug.Job) {},
	"ownerKilled": func(p *batchFleet, x bulrushlug.Job) {
		n := p.owner(x)
		p.kill(n)
		p.accesses[n].shut.Store(true)
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
		p.table.SetOutage(true)
		time.Sleep(10 * time.Minute)
		p.table.SetOutage(false)
	},
	"storeSlow":   func(p *batchFleet, _ bulrushlug.Job) { p.table.SetDelay(800 * time.Millisecond) },
	"lostAnswers": func(p *batchFleet, _ bulrushlug.Job) { p.table.DropResponses(10) },
	"diskFull":    func(p *batchFleet, _ bulrushlug.Job) { p.dataVMs.set(p.dataVMs.full, "d1", true) },
	"twoDisksFull": func(p *batchFleet, _ bulrushlug.Job) {
		p.dataVMs.set(p.dataVMs.full, "d1", true)
		p.dataVMs.set(p.dataVMs.full, "d2", true)
	},
	"twoDataVMsLost": func(p *batchFleet, x bulrushlug.Job) {
		p.lose("d0")
		p.lose("d2")
	},
	"engineBreaks": func(p *batchFleet, _ bulrushlug.Job) {
		p.engine.SetOutage(true)
		time.Sleep(20 * time.Second)
		p.engine.SetOutage(false)
	},
	"ownerKilledInOutage": func(p *batchFleet, x bulrushlug.Job) {
		n := p.owner(x)
		p.table.SetOutage(true)
		p.kill(n)
		time.Sleep(2 * time.Minute)
		p.table.SetOutage(false)
	},
	"ownerKilledAndAnswersLost": func(p *batchFleet, x bulrushlug.Job) {
		p.kill(p.owner(x))
		p.table.DropResponses(5)
	},
}

// lose takes VM n away for good.
func (p *batchFleet) lose(n string) {
	p.kill(n)
	p.dataVMs.set(p.dataVMs.gone, n, true)
}

func (p *batchFleet) owner(x bulrushlug.Job) string {
	for {
		if n := p.job(x.ID()).Owner(); n != "" {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
}

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
					t.Errorf("a resent job is another one: %v", err)
				}
				x = p.await(x.ID(), 20*time.Minute)
				time.Sleep(time.Minute)
				p.check(p.job(x.ID()), items, 0)
				p.account(t, items)
			})
		})
	}
}

// account logs what the engine ran and what the records cost.
func (p *batchFleet) account(t *testing.T, items int) {
	started, finished := 0, 0
	p.engine.ForEachRequest(func(_ string, s, f, _, _ uint32) {
		started += int(s)
		finished += int(f)
	})
	r, w := p.table.Calls()
	t.Logf("items %d, started %d, finished %d; reads %d, writes %d", items, started, finished, r, w)
}

func TestPoisonItem(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		defer p.close()
		p.poison = "item-77."
		p.start("d0")
		x, err := p.submit(600, "k")
		if err != nil {
			t.Fatal(err)
		}
		x = p.await(x.ID(), 5*time.Minute)
		p.check(x, 600, 1)
	})
}

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
		t.Logf("%s after %v with a lost owner", x.Status(), time.Since(at))
		done, _ := x.Counts()
		if x.Status() != bulrushlug.StatusCancelled || done == 0 {
			t.Errorf("job is %s with %d results", x.Status(), done)
		}
		time.Sleep(10 * time.Second)
		if n, _ := p.engine.Active(); n > 0 {
			t.Errorf("%d items still run", n)
		}
	})
}

func TestLostRightAfterAcceptance(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		defer p.close()
		x, err := p.submit(600, "k")
		if err != nil {
			t.Fatal(err)
		}
		p.lose("d0")
		p.lose("d1")
		p.start("d2")
		x = p.await(x.ID(), 5*time.Minute)
		p.check(x, 600, 0)
	})
}

func TestNoDataVM(t *testing.T) {
	bubble(t, func(t *testing.T) {
		p := newBatchFleet(t, "d0", "d1", "d2")
		for _, n := range []string{"d0", "d1"} {
			p.kill(n)
		}
		_, err := p.submit(10, "k")
		if k := bulrushlug.KindOf(err); k != bulrushlug.KindStorage || k.Answer().Ran() {
			t.Errorf("a job that one of three data VMs holds was answered with %v", err)
		}
	})
}

// TestBatchCost measures calls on the key-value service as items and jobs grow.
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
				r0, w0 := p.table.Calls()
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
				r1, w1 := p.table.Calls()
				n := float64(x.items * x.jobs)
				perItem := float64(w1-w0) / n
				perSecond := perItem * bounds.BatchItemsPerDay / (24 * time.Hour).Seconds()
				t.Logf("writes %d (%.5f per item, %.1f per job), reads %d; at the target %.1f writes/s",
					w1-w0, perItem, float64(w1-w0)/float64(x.jobs), r1-r0, perSecond)
				measure(t, "batch: writes on the key-value service per item", name, perItem)
				if x.items >= 10000 && perSecond > bounds.StoreWritesPerSecond {
					t.Errorf("%.1f writes/s at the target", perSecond)
				}
			})
		})
	}
}

// TestPausedOwnerGoesOn has an owner that was replaced run on beside the new one.
func TestPausedOwnerGoesOn(t *testing.T) {
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
		p.accesses[n].shut.Store(true)
		time.Sleep(20 * time.Second)
		p.dataVMs.set(p.dataVMs.down, n, false)
		p.accesses[n].shut.Store(false)
		x = p.await(x.ID(), 20*time.Minute)
		time.Sleep(time.Minute)
		p.check(p.job(x.ID()), items, 0)
		p.account(t, items)
	})
}
