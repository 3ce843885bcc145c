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

// noRecorder records no events.
type noRecorder struct{}

func (noRecorder) Record(bulrushlug.Event) {}

// storeAccess is one process's way to the key-value service.
type storeAccess struct {
	*memkv.Store
	shut atomic.Bool
}

func (g *storeAccess) err() error {
	if g.shut.Load() {
		return bulrushlug.Errorf(bulrushlug.KindStoreDown, "cut off")
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

// process is one node of the virtual fleet.
type process struct {
	member      bulrushlug.Member
	control     *ctrl.Control
	storeAccess *storeAccess
	stop        context.CancelFunc
}

// virtualFleet runs the control parts of many processes in virtual time.
type virtualFleet struct {
	t     *testing.T
	net   *memnet.Network
	table *memkv.Store
	list  *memvm.List
	nodes map[string]*process
	order []string
	mu    sync.Mutex      // Guards nodes, order and down.
	down  map[string]bool // Processes that callers do not reach.
}

const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 1500 * time.Microsecond
	listLag   = 5 * time.Second
)

func delay(a, b bulrushlug.Member) time.Duration {
	switch {
	case a.Name() == b.Name():
		return 0
	case a.Zone() == b.Zone():
		return nearDelay
	}
	return farDelay
}

// newVirtualFleet starts entries in each of the zones.
func newVirtualFleet(t *testing.T, seed uint64, loss float64, zones, each int) *virtualFleet {
	f := &virtualFleet{
		t:     t,
		net:   memnet.New(seed, loss, delay),
		table: memkv.New(),
		list:  memvm.New(0),
		nodes: map[string]*process{},
		down:  map[string]bool{},
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

func member(i, zones int) bulrushlug.Member {
	n := fmt.Sprintf("entry-%04d", i)
	return bulrushlug.NewMember(n, n, "r", fmt.Sprintf("z%02d", i%zones), bulrushlug.RoleEntry)
}

// start runs the process m, in place of an earlier one of its name.
func (f *virtualFleet) start(m bulrushlug.Member) *process {
	c, stop := context.WithCancel(context.Background())
	p := &process{member: m, storeAccess: &storeAccess{Store: f.table}, stop: stop}
	p.control = ctrl.New(m, p.storeAccess, f.list, f.net.Mesh(m), f.net.PeerClient(m), noRecorder{},
		func(string) *expvar.Map { return new(expvar.Map).Init() })
	f.net.Join(m, p.control.Receive, p.control.State().Config)
	f.mu.Lock()
	if f.nodes[m.Name()] == nil {
		f.order = append(f.order, m.Name())
	}
	f.nodes[m.Name()] = p
	delete(f.down, m.Name())
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

// all returns the processes by VM.
func (f *virtualFleet) all() map[string]*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.nodes)
}

// kill ends a process without a farewell.
func (f *virtualFleet) kill(n string) {
	f.setDown(n, true)
	f.net.Kill(f.get(n).member.Address())
	f.get(n).stop()
}

func (f *virtualFleet) close() {
	for _, p := range f.all() {
		p.stop()
	}
	time.Sleep(20 * time.Second)
}

func (f *virtualFleet) setDown(n string, v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[n] = v
}

func (f *virtualFleet) isDown(n string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[n]
}

// home returns the process that is the home of organisation o.
func (f *virtualFleet) home(o string) string { return f.node(1).control.Owners().Owner(o) }

// reachable returns the processes that callers reach and that serve.
func (f *virtualFleet) reachable() (l []*process) {
	f.mu.Lock()
	o := slices.Clone(f.order)
	f.mu.Unlock()
	for _, n := range o {
		if p := f.get(n); !f.isDown(n) && p.control.State().Fresh() {
			l = append(l, p)
		}
	}
	return l
}

// propose writes a change through node i.
func (f *virtualFleet) propose(i int, e bulrushlug.Organisation) (uint64, error) {
	return f.node(i).control.Ledger().Propose(context.Background(), func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		return bulrushlug.NewChange(fmt.Sprint(e.Name(), x.Revision()), "test", e), nil
	})
}

// org returns an organisation with one key.
func org(n string, rate float64, burst uint32) bulrushlug.Organisation {
	return bulrushlug.NewOrganisation(n, rate, burst).WithKey(bulrushlug.NewKey("k", bulrushlug.HashKey("key-"+n), false))
}

func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// measure logs one measure for the report: a bar of a chart.
func measure(t *testing.T, chart, bar string, v float64) {
	t.Helper()
	t.Logf("measure: %s | %s | %g", chart, bar, v)
}
