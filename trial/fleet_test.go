package trial

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/ctrl"
	"bulrushlug.dev/bulrushlug/memkv"
	"bulrushlug.dev/bulrushlug/memnet"
	"bulrushlug.dev/bulrushlug/memvm"
)

// nopRecorder discards all events.
type nopRecorder struct{}

func (nopRecorder) Record(bulrushlug.Event) {}

// storeAccess is the connection of one process to the key-value service; while it is blocked, all calls fail with
// KindStoreDown.
type storeAccess struct {
	*memkv.Store
	blocked atomic.Bool
}

func (g *storeAccess) err() error {
	if g.blocked.Load() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "key-value service is unreachable")
	}
	return nil
}

func (g *storeAccess) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	if err := g.err(); err != nil {
		return bulrushlug.KVEntry{}, err
	}
	return g.Store.Get(c, k)
}

func (g *storeAccess) CompareAndSwap(c context.Context, k string, v []byte, prev uint64) (uint64, error) {
	if err := g.err(); err != nil {
		return 0, err
	}
	return g.Store.CompareAndSwap(c, k, v, prev)
}

func (g *storeAccess) List(c context.Context, p string) ([]bulrushlug.KVEntry, uint64, error) {
	if err := g.err(); err != nil {
		return nil, 0, err
	}
	return g.Store.List(c, p)
}

// process is one entry of the virtual fleet.
type process struct {
	member      bulrushlug.Member
	control     *ctrl.Control
	storeAccess *storeAccess
	stop        context.CancelFunc
}

// virtualFleet runs the control components of many entries in virtual time.
type virtualFleet struct {
	t           *testing.T
	net         *memnet.Network
	store       *memkv.Store
	list        *memvm.List
	nodes       map[string]*process
	order       []string
	mu          sync.Mutex      // Guards nodes, order and unreachable.
	unreachable map[string]bool // Processes that callers can't reach, by VM.
}

const (
	nearDelay = 500 * time.Microsecond  // One-way latency within a zone.
	farDelay  = 1500 * time.Microsecond // One-way latency between zones.
	listLag   = 5 * time.Second         // Propagation delay of changes of the VM list.
)

// delay returns the one-way latency between two processes.
func delay(a, b bulrushlug.Member) time.Duration {
	switch {
	case a.Name() == b.Name():
		return 0
	case a.Zone() == b.Zone():
		return nearDelay
	}
	return farDelay
}

// newVirtualFleet starts the given number of entries in each zone, on a network that drops the share loss of all messages.
func newVirtualFleet(t *testing.T, seed uint64, loss float64, zones, each int) *virtualFleet {
	f := &virtualFleet{
		t:           t,
		net:         memnet.New(seed, loss, delay),
		store:       memkv.New(),
		list:        memvm.New(0),
		nodes:       map[string]*process{},
		unreachable: map[string]bool{},
	}
	for i := range zones * each {
		f.list.Put(member(i, zones))
	}
	for i := range zones * each {
		f.start(member(i, zones))
	}
	f.list.SetLag(listLag)
	return f
}

// member returns entry i, whose zone is chosen round robin.
func member(i, zones int) bulrushlug.Member {
	n := fmt.Sprintf("entry-%04d", i)
	return bulrushlug.NewMember(n, n, "r", fmt.Sprintf("z%02d", i%zones), bulrushlug.RoleEntry)
}

// start starts the process m, and replaces an earlier one of the same name.
func (f *virtualFleet) start(m bulrushlug.Member) *process {
	c, stop := context.WithCancel(context.Background())
	p := &process{member: m, storeAccess: &storeAccess{Store: f.store}, stop: stop}
	p.control = ctrl.New(m, p.storeAccess, f.list, f.net.Messenger(m), f.net.PeerClient(m), nopRecorder{},
		func(string) *expvar.Map { return new(expvar.Map).Init() })
	f.net.Join(m, p.control.Receive, p.control.State().Config)
	f.mu.Lock()
	if f.nodes[m.Name()] == nil {
		f.order = append(f.order, m.Name())
	}
	f.nodes[m.Name()] = p
	delete(f.unreachable, m.Name())
	f.mu.Unlock()
	go func() { _ = p.control.Run(c) }()
	return p
}

func (f *virtualFleet) node(i int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[f.order[i]]
}

func (f *virtualFleet) get(n string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[n]
}

// all returns all processes by VM.
func (f *virtualFleet) all() map[string]*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.nodes)
}

// kill stops process n without a graceful shutdown.
func (f *virtualFleet) kill(n string) {
	f.setUnreachable(n, true)
	f.net.Kill(f.get(n).member.Address())
	f.get(n).stop()
}

// close stops all processes and waits until their goroutines have ended.
func (f *virtualFleet) close() {
	for _, p := range f.all() {
		p.stop()
	}
	time.Sleep(20 * time.Second)
}

func (f *virtualFleet) setUnreachable(n string, v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[n] = v
}

func (f *virtualFleet) isUnreachable(n string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable[n]
}

// home returns the VM that is the home of organisation o.
func (f *virtualFleet) home(o string) string { return f.node(1).control.HomeLocator().Owner(o) }

// reachable returns the processes that callers can reach and whose configuration is fresh.
func (f *virtualFleet) reachable() (l []*process) {
	f.mu.Lock()
	o := slices.Clone(f.order)
	f.mu.Unlock()
	for _, n := range o {
		if p := f.get(n); !f.isUnreachable(n) && p.control.State().Fresh() {
			l = append(l, p)
		}
	}
	return l
}

// propose proposes through process i a change that sets the organisation e.
func (f *virtualFleet) propose(i int, e bulrushlug.Organisation) (uint64, error) {
	return f.node(i).control.ConfigLog().Propose(context.Background(), func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		return bulrushlug.NewChange(fmt.Sprint(e.Name(), x.Revision()), "test", e), nil
	})
}

// org returns an organisation with the API key key-n.
func org(n string, rate float64, burst uint32) bulrushlug.Organisation {
	return bulrushlug.NewOrganisation(n, rate, burst).WithKey(bulrushlug.NewKey("k", bulrushlug.HashKey("key-"+n), false))
}

// bubble runs f in a synctest bubble, in virtual time.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// reportMeasure logs one measurement, a bar of a chart, in the format that package report parses.
func reportMeasure(t *testing.T, chart, bar string, v float64) {
	t.Helper()
	t.Logf("measure: %s | %s | %g", chart, bar, v)
}
