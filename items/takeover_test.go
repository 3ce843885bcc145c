package items

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	longItemEvents = 100 // Events of an item, eventInterval apart.
	reportInterval = 100 * time.Millisecond
	replicaDelay   = time.Millisecond
	restartTime    = 300 * time.Millisecond // Shorter than the silence after which a replica takes over.
)

// memLog is a log on a disk that outlives the process that uses it.
type memLog struct {
	mu      sync.Mutex
	updates []bulrushlug.LotUpdate
}

func (g *memLog) Append(u bulrushlug.LotUpdate) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updates = append(g.updates, u)
	return nil
}

func (g *memLog) Load(f func(u bulrushlug.LotUpdate)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.updates {
		f(u)
	}
	return nil
}

func (g *memLog) Drop(i string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updates = slices.DeleteFunc(g.updates, func(u bulrushlug.LotUpdate) bool { return u.Lot() == i })
	return nil
}

// textServer is a fake client of all backend servers; each event names the run that made it.
type textServer struct {
	mu      sync.Mutex
	resume  map[string][]uint64 // Event after which each run of an item was asked to resume.
	random  *rand.Rand          // Breaks runs off; nil for none.
	refuses bool                // Calls fail at once.
	stuck   chan struct{}       // Calls return once it is closed, whatever their context says; nil for at once.
}

func (v *textServer) Call(c context.Context, _ bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	if v.stuck != nil {
		<-v.stuck
	}
	if v.refuses {
		return nil, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "connection refused")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.resume[r.ID()])
	v.resume[r.ID()] = append(v.resume[r.ID()], r.ResumeFrom())
	p, w := io.Pipe()
	last := uint64(longItemEvents)
	if v.random != nil && v.random.IntN(3) == 0 {
		last = r.ResumeFrom() + v.random.Uint64N(longItemEvents)
	}
	go func() {
		for i := r.ResumeFrom() + 1; i <= longItemEvents; i++ {
			err := bulrushlug.Sleep(c, eventInterval)
			if err == nil && i > last {
				err = io.ErrUnexpectedEOF
			}
			if err == nil {
				_, err = fmt.Fprintf(w, "id: %d\ndata: %d %d\n\n", i, n, i)
			}
			if err != nil {
				_ = w.CloseWithError(err)
				return
			}
		}
		_ = w.Close()
	}()
	return &run{status: statusOK, PipeReader: p}, nil
}

// check returns what is wrong with the text of an item: an event that is missing, or one whose run was not asked to
// resume after the event before it.
func (v *textServer) check(id, text string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := -1
	l := strings.Split(text, "\n")
	for i, d := range l {
		var run, event int
		if _, err := fmt.Sscanf(d, "%d %d", &run, &event); err != nil || event != i+1 {
			return fmt.Errorf("event %d is %q", i+1, d)
		}
		if run != last && v.resume[id][run] != uint64(i) {
			return fmt.Errorf("event %d is of run %d, which was asked to resume after event %d", i+1, run, v.resume[id][run])
		}
		last = run
	}
	if len(l) != longItemEvents {
		return fmt.Errorf("%d events", len(l))
	}
	return nil
}

// process is a process with a disk.
type process struct {
	vm       string
	log      *memLog
	isolated bool // It reaches no other process, and none reaches it.
	mute     bool // It answers no other process, but reports go on.
	boot     uint64
	sequence uint64
	alive    bool
	stop     context.CancelFunc
	peers    *peers.Membership
	table    *slots.Table
	routes   *routes
	manager  *lots.ReplicaManager
	runner   *Runner
}

// group is a set of processes that share one fake of all backend servers.
type group struct {
	c         context.Context
	mu        sync.Mutex
	store     *memtxn.Store
	server    *textServer
	client    bulrushlug.BackendClient // Takes the place of server; nil for server.
	processes map[string]*process      // By VM, which is also the name of the disk.
	boots     uint64
	random    *rand.Rand // Makes updates late; nil for none.
	earlier   bool       // Replicas return no progress, as those of an earlier version.
	detector  bulrushlug.PoisonDetector
	logger    log.Logger
	full      bool // No disk takes a result.
}

func newGroup(c context.Context, names ...string) *group {
	g := newIdleGroup(c)
	g.run(names...)
	return g
}

// newIdleGroup returns a group without processes.
func newIdleGroup(c context.Context) *group {
	return &group{c: c, store: memtxn.New(), server: &textServer{resume: map[string][]uint64{}}, processes: map[string]*process{}, detector: noDetector{}, logger: log.NewNopLogger()}
}

// run starts processes on the given VMs and the reports between them.
func (g *group) run(names ...string) {
	for _, n := range names {
		g.start(n, &memLog{})
	}
	go func() {
		for bulrushlug.Sleep(g.c, reportInterval) == nil {
			g.report()
		}
	}()
	time.Sleep(2 * time.Second)
}

// start starts a process on VM n with the log d.
func (g *group) start(n string, d *memLog) {
	c, stop := context.WithCancel(g.c)
	w := log.With(g.logger, "vm", n)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.boots++
	p := &process{vm: n, log: d, boot: g.boots, alive: true, stop: stop}
	p.peers = peers.New(bulrushlug.NewMember(n, n, "r", "z"+n, "data").WithDataFolder(true), p.boot, n, g.store, "vm/", time.Second, log.NewNopLogger())
	p.table = slots.New(n, func() []string { return nil })
	p.table.Update([]bulrushlug.Backend{bulrushlug.NewBackend("b", "s", "h:1", bulrushlug.BackendZoneSlots("z", 4))})
	p.routes = &routes{}
	p.routes.set(bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("r", "/", false, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
		bulrushlug.RouteTraffic(bulrushlug.TrafficLot, true, false), bulrushlug.RouteLimits(3, 2, 0), bulrushlug.RouteLots(time.Minute, time.Minute))))
	p.manager = lots.New(ownLog{d, g, p}, link{g, p}, ownStore{g.store, g, p}, "lot/", p.peers, w, lots.WithReplicationFactor(2), lots.WithRetention(time.Hour),
		lots.WithWorkCallback(func() { p.runner.Wake() }),
		lots.WithProgress(func(i string, n uint32, text, after uint64) bulrushlug.LotProgress {
			return p.runner.Progress(i, n, text, after)
		}))
	p.runner = New(p.manager, p.table, g.backends(), p.routes, g.detector, prompt, guard.New(log.NewNopLogger()), w, new(expvar.Map).Init(), memory.New(1<<30))
	g.mu.Unlock() // The log looks at the group.
	_ = p.manager.Load()
	g.mu.Lock()
	g.processes[n] = p
	go func() { _ = p.manager.Run(c) }()
	go func() { _ = p.runner.Run(c) }()
}

// backends returns the client of the backend servers.
func (g *group) backends() bulrushlug.BackendClient {
	if g.client != nil {
		return g.client
	}
	return g.server
}

// kill ends the process on VM n at once.
func (g *group) kill(n string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes[n].alive = false
	g.processes[n].stop()
}

// restart kills the process on VM n and starts it again before the others take it for failed.
func (g *group) restart(n string) {
	g.kill(n)
	time.Sleep(restartTime)
	g.start(n, g.processes[n].log)
}

// restartAll kills all processes at the same moment and starts them again.
func (g *group) restartAll() {
	names := slices.Sorted(maps.Keys(g.processes))
	for _, n := range names {
		g.kill(n)
	}
	time.Sleep(restartTime)
	for _, n := range names {
		g.start(n, g.processes[n].log)
	}
}

// report delivers a report of each process to all others.
func (g *group) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, p := range g.processes {
		if !p.alive || p.isolated {
			continue
		}
		p.sequence++
		r := bulrushlug.NewReport(p.peers.Self(), p.boot, p.sequence, bulrushlug.ReportState(n, 1))
		for _, q := range g.processes {
			if !q.isolated {
				q.peers.ApplyReport(r)
			}
		}
	}
}

// primary returns the VM of the primary of the lot, and empty if no process may answer for it.
func (g *group) primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, p := range g.processes {
		if _, err := p.manager.Body(g.c, bulrushlug.NewLotQuery("lot", "o").WithItem("i0")); p.alive && err == nil {
			return n
		}
	}
	return ""
}

func (g *group) isFull() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.full
}

// link calls the other processes of a group.
type link struct {
	group *group
	from  *process
}

func (l link) manager(c context.Context, a string) (*lots.ReplicaManager, error) {
	if err := bulrushlug.Sleep(c, replicaDelay); err != nil {
		return nil, err
	}
	return l.group.reach(l.from, a)
}

// reach returns the manager of the process on VM a if from reaches it.
func (g *group) reach(from *process, a string) (*lots.ReplicaManager, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.processes[a]; p != nil && p.alive && from.alive && !p.isolated && !p.mute && !from.isolated {
		return p.manager, nil
	}
	return nil, bulrushlug.Errorf(bulrushlug.KindUncertain, "%s does not answer %s", a, from.vm)
}

func (l link) Append(c context.Context, a string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	k, err := l.manager(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	if d, lost := l.group.fault(); d > 0 {
		return l.late(c, a, u, d, lost)
	}
	s, err := k.Append(u)
	if l.group.earlier {
		s = s.WithProgress(nil)
	}
	return s, err
}

// late delivers u after d, even if the caller waits no longer; the response may get lost.
func (l link) late(c context.Context, a string, u bulrushlug.LotUpdate, d time.Duration, lost bool) (bulrushlug.LotReplicaState, error) {
	type response struct {
		state bulrushlug.LotReplicaState
		err   error
	}
	done := make(chan response, 1)
	go func() {
		time.Sleep(d)
		k, err := l.group.reach(&process{alive: true}, a)
		if err != nil {
			done <- response{err: err}
			return
		}
		s, err := k.Append(u)
		done <- response{s, err}
	}()
	if lost {
		<-c.Done()
		return bulrushlug.LotReplicaState{}, c.Err()
	}
	select {
	case r := <-done:
		return r.state, r.err
	case <-c.Done():
		return bulrushlug.LotReplicaState{}, c.Err()
	}
}

// ownLog is the log of a process, which can't write once it ended.
type ownLog struct {
	*memLog
	group *group
	p     *process
}

func (o ownLog) Append(u bulrushlug.LotUpdate) error {
	if !o.group.isAlive(o.p) {
		return bulrushlug.Errorf(bulrushlug.KindStorage, "the process on %s ended", o.p.vm)
	}
	if o.group.isFull() && u.Offset() > 0 && len(u.Entries()) > 0 {
		return bulrushlug.Errorf(bulrushlug.KindStorage, "the disk of %s is full", o.p.vm)
	}
	return o.memLog.Append(u)
}

func (o ownLog) Drop(i string) error {
	if !o.group.isAlive(o.p) {
		return bulrushlug.Errorf(bulrushlug.KindStorage, "the process on %s ended", o.p.vm)
	}
	return o.memLog.Drop(i)
}

// ownStore is the key-value service for a process, which makes no calls once it ended.
type ownStore struct {
	*memtxn.Store
	group *group
	p     *process
}

func (o ownStore) Commit(c context.Context, l []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	if !o.group.isAlive(o.p) {
		return 0, bulrushlug.Errorf(bulrushlug.KindStoreDown, "the process on %s ended", o.p.vm)
	}
	return o.Store.Commit(c, l, w)
}

func (g *group) isAlive(p *process) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return p.alive
}

// fault returns the delay of an update, and whether its response gets lost.
func (g *group) fault() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.random == nil || g.random.IntN(4) > 0 {
		return 0, false
	}
	return time.Duration(1+g.random.IntN(1500)) * time.Millisecond, g.random.IntN(3) == 0
}

func (l link) Verify(c context.Context, a, i string, n uint64) (bulrushlug.LotReplicaState, error) {
	k, err := l.manager(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return k.Verify(i, n), nil
}

func (l link) Forget(c context.Context, a, i string, n uint64) error {
	k, err := l.manager(c, a)
	if err == nil {
		k.Forget(i, n)
	}
	return err
}

func (l link) Withdraw(c context.Context, a, i, d string) error {
	k, err := l.manager(c, a)
	if err == nil {
		k.Withdraw(i, d)
	}
	return err
}

// TestTextJoinedFromTwoRuns ends primaries while they run an item: its text goes on only with runs that were asked to
// resume after the event before.
func TestTextJoinedFromTwoRuns(t *testing.T) {
	for name, during := range map[string]func(g *group){
		"no fault": func(*group) {},
		"the primary fails": func(g *group) {
			time.Sleep(2 * time.Second)
			g.kill(g.primary())
		},
		"the primary restarts": func(g *group) {
			time.Sleep(2 * time.Second)
			g.restart(g.primary())
		},
		"the primary restarts, and fails as the new text is longer": func(g *group) {
			time.Sleep(1700 * time.Millisecond)
			p := g.primary()
			g.restart(p)
			time.Sleep(3500 * time.Millisecond)
			g.kill(p)
		},
		"the primary restarts, and fails as the new text is shorter": func(g *group) {
			time.Sleep(2700 * time.Millisecond)
			p := g.primary()
			g.restart(p)
			time.Sleep(1500 * time.Millisecond)
			g.kill(p)
		},
		"the primary restarts twice, and fails": func(g *group) {
			time.Sleep(1200 * time.Millisecond)
			p := g.primary()
			g.restart(p)
			time.Sleep(2200 * time.Millisecond)
			g.restart(p)
			time.Sleep(3200 * time.Millisecond)
			g.kill(p)
		},
		"the primary fails, then the next one": func(g *group) {
			time.Sleep(2 * time.Second)
			p := g.primary()
			g.kill(p)
			time.Sleep(2 * time.Second)
			g.start(p, g.processes[p].log)
			time.Sleep(2 * time.Second)
			g.kill(g.primary())
		},
	} {
		for version, earlier := range map[string]bool{"replicas of this version": false, "replicas of an earlier version": true} {
			t.Run(name+"/"+version, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { textAfter(t, during, earlier) })
			})
		}
	}
}

// textAfter checks the text of an item that runs while during is called; earlier says that replicas return no progress.
func textAfter(t *testing.T, during func(g *group), earlier bool) {
	c, stop := context.WithCancel(t.Context())
	g := newGroup(c, "a", "b", "c")
	g.earlier = earlier
	l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
	if err := g.processes["a"].manager.Submit(c, l); err != nil {
		t.Fatal(err)
	}
	during(g)
	time.Sleep(20 * time.Second)
	found := false
	for n, p := range g.processes {
		r, err := p.manager.Read(c, bulrushlug.NewLotQuery("lot", "o"))
		if !p.alive || err != nil {
			continue
		}
		found = true
		if len(r.Results()) != 1 || !r.Results()[0].Completed() {
			t.Fatalf("results at %s: %v", n, r.Results())
		}
		if err := g.server.check("i0", r.Results()[0].Text()); err != nil {
			t.Errorf("text at %s: %v", n, err)
		}
	}
	if !found {
		t.Error("no process answers for the lot")
	}
	stop()
	synctest.Wait()
}

// TestProgressOfRestartedReplica restarts the replica of an item while it runs, then ends the primary: the next run goes on
// from events that the replica received again.
func TestProgressOfRestartedReplica(t *testing.T) {
	for name, x := range map[string]struct {
		restarts int
		least    uint64 // Event after which the last run resumes, or a later one.
	}{
		"no restart":   {least: 60},
		"one restart":  {restarts: 1, least: 60},
		"two restarts": {restarts: 2, least: 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				g := newGroup(c, "a", "b")
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				for range x.restarts {
					g.restart("b")
					time.Sleep(1200*time.Millisecond - restartTime)
				}
				time.Sleep(3*time.Second - time.Duration(x.restarts)*1200*time.Millisecond)
				g.start("c", &memLog{})
				time.Sleep(500 * time.Millisecond)
				g.kill("a")
				time.Sleep(10 * time.Second)
				g.server.mu.Lock()
				runs := g.server.resume["i0"]
				g.server.mu.Unlock()
				if last := runs[len(runs)-1]; len(runs) < 2 || last < x.least {
					t.Errorf("runs resumed after events %v", runs)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}

// TestProgressOfRestartedPrimary restarts the primary of an item while it runs: the next run goes on from the events that the
// replica received.
func TestProgressOfRestartedPrimary(t *testing.T) {
	for name, x := range map[string]struct {
		claimed  bool // The primary took the lot over before.
		restarts int
	}{
		"one restart":                  {restarts: 1},
		"two restarts":                 {restarts: 2},
		"one restart after a takeover": {claimed: true, restarts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				g := newGroup(c, "a", "b", "c")
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i0", "/p", nil, nil)})
				if err := g.processes["a"].manager.Submit(c, l); err != nil {
					t.Fatal(err)
				}
				if x.claimed {
					g.kill("a")
					time.Sleep(1500 * time.Millisecond)
				}
				had := 0 // Events that the primary had at its last restart.
				for range x.restarts {
					time.Sleep(2 * time.Second)
					p := g.primary()
					had, _ = g.processes[p].runner.eventCount(key{"lot", 0})
					g.restart(p)
				}
				time.Sleep(10 * time.Second)
				g.server.mu.Lock()
				runs := g.server.resume["i0"]
				g.server.mu.Unlock()
				// Replicas get the progress at least once a second.
				if last := runs[len(runs)-1]; len(runs) <= x.restarts || had == 0 || int(last) < had-int(time.Second/eventInterval) || last == 0 {
					t.Errorf("the primary had %d events, runs resumed after events %v", had, runs)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
