package lots

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/locate"
	"bulrushlug.dev/bulrushlug/memtab"
	"bulrushlug.dev/bulrushlug/peers"
)

const (
	callDelay = time.Millisecond
	cutDelay  = 400 * time.Millisecond // Time after which a call to a VM that is cut off fails.
	slowDelay = 250 * time.Millisecond // Time that the key-value service takes for an answer while it is slow.
	tellEvery = 100 * time.Millisecond
	itemTime  = 200 * time.Millisecond
	keepTime  = 5 * time.Minute
	// recovery is the time after the last fault in which the lots must be whole again.
	recovery = 12 * time.Second
)

// memDisk is a disk that outlives the process that uses it.
type memDisk struct {
	mu      sync.Mutex
	name    string
	updates map[string][]bulrushlug.LotUpdate
}

func newDisk(n string) *memDisk {
	return &memDisk{name: n, updates: map[string][]bulrushlug.LotUpdate{}}
}

func (d *memDisk) Append(u bulrushlug.LotUpdate) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updates[u.Lot()] = append(d.updates[u.Lot()], u)
	return nil
}

func (d *memDisk) Load(f func(u bulrushlug.LotUpdate)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.updates {
		for _, u := range l {
			f(u)
		}
	}
	return nil
}

func (d *memDisk) Drop(i string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.updates, i)
	return nil
}

// vm is one process with a disk.
type vm struct {
	member bulrushlug.Member
	disk   *memDisk
	boot   uint64
	count  uint64
	peers  *peers.Membership
	keeper *ReplicaManager
	alive  bool
	stop   context.CancelFunc
	runs   int
}

// cluster is a set of processes, the network between them and the key-value service.
type cluster struct {
	t        *testing.T
	c        context.Context
	mu       sync.Mutex
	table    *memtab.Store
	vms      map[string]*vm
	cut      map[string]bool // VMs that reach neither another nor the key-value service.
	apart    map[string]bool // VMs that reach the key-value service but no other VM.
	retiring map[string]bool
	fronts   []*locate.Router
	heard    []*peers.Membership       // What each front end knows.
	seen     map[string]map[int]string // Results that callers read, by lot and position.
	items    map[string]int            // Items of each lot that was accepted.
	offered  map[string]int            // Items of each lot.
	ended    map[string]bool
	boots    uint64
	copies   int  // Disks that hold what is accepted.
	slow     bool // The key-value service is slow.
	out      log.Logger
}

var errCut = errors.New("cut off")

func newCluster(t *testing.T, c context.Context, n, copies int) *cluster {
	k := &cluster{t: t, c: c, copies: copies, table: memtab.New(), vms: map[string]*vm{}, cut: map[string]bool{}, apart: map[string]bool{}, retiring: map[string]bool{},
		seen: map[string]map[int]string{}, items: map[string]int{}, offered: map[string]int{}, ended: map[string]bool{}, out: log.NewNopLogger()}
	if os.Getenv("LOTS_LOG") != "" {
		k.out = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	}
	for i := range n {
		k.start(fmt.Sprint("d", i), newDisk(fmt.Sprint("disk-", i)))
	}
	for i := range 2 {
		k.heard = append(k.heard, peers.New(bulrushlug.NewMember("front", "front", "r", fmt.Sprint("z", i), bulrushlug.RoleEntry), 1, "", k.table, "vm/", time.Second, k.out))
		k.fronts = append(k.fronts, nil)
		k.newFront(i)
	}
	go func() {
		for bulrushlug.Sleep(c, tellEvery) == nil {
			k.tell()
		}
	}()
	time.Sleep(startTime + tellEvery)
	return k
}

// tableOf is the key-value service as one VM reaches it.
type tableOf struct {
	*memtab.Store
	cluster *cluster
	vm      string
}

// wait takes as long as a call on its way to the service, or back.
func (t tableOf) wait(c context.Context) {
	t.cluster.mu.Lock()
	d := callDelay
	if t.cluster.slow {
		d = slowDelay / 2
	}
	t.cluster.mu.Unlock()
	_ = bulrushlug.Sleep(c, d)
}

func (t tableOf) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	t.wait(c)
	defer t.wait(c)
	if t.cluster.isCut(t.vm) {
		return bulrushlug.KVEntry{}, bulrushlug.Errorf(bulrushlug.KindStoreDown, "cut off")
	}
	return t.Store.Get(c, k)
}

func (t tableOf) Commit(c context.Context, on []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	t.wait(c)
	defer t.wait(c)
	if t.cluster.isCut(t.vm) {
		return 0, bulrushlug.Errorf(bulrushlug.KindStoreDown, "cut off")
	}
	return t.Store.Commit(c, on, w)
}

func (k *cluster) isCut(v string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut[v]
}

// start starts the process on VM n with disk d.
func (k *cluster) start(n string, d *memDisk) {
	k.mu.Lock()
	k.boots++
	c, stop := context.WithCancel(k.c)
	zone := "z" + strings.TrimPrefix(n, "d")
	v := &vm{member: bulrushlug.NewMember(n, n, "r", zone, "data").WithData(true), disk: d, boot: k.boots, alive: true, stop: stop}
	t := tableOf{k.table, k, n}
	l := log.With(k.out, "vm", n)
	v.peers = peers.New(v.member, v.boot, d.name, t, "vm/", time.Second, l)
	v.keeper = New(d, network{k, n}, t, "lot/", v.peers, l, WithReplicationFactor(k.copies), WithRetention(keepTime), WithRetiring(func(x string) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.retiring[x]
	}))
	k.vms[n] = v
	k.mu.Unlock()
	if err := v.keeper.Load(); err != nil {
		k.t.Error(err)
	}
	go func() { _ = v.keeper.Run(c) }()
	go k.run(c, v)
}

// kill ends the process on VM n at once.
func (k *cluster) kill(n string) *memDisk {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.vms[n]
	v.alive = false
	v.stop()
	return v.disk
}

// run does the items of the lots that v runs; each run of an item gives another text.
func (k *cluster) run(c context.Context, v *vm) {
	for bulrushlug.Sleep(c, itemTime) == nil {
		v.keeper.EachRunnable(func(l bulrushlug.Lot, left []uint32) {
			n := left[rand.IntN(len(left))]
			v.runs++
			v.keeper.RecordResult(c, l.ID(), bulrushlug.NewLotResult(n, true, fmt.Sprint(l.ID(), " ", n, " run ", v.runs, " at boot ", v.boot)))
		})
	}
}

// tell hands the reports of all processes to those that they reach.
func (k *cluster) tell() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.vms {
		if !v.alive {
			continue
		}
		v.count++
		r := bulrushlug.NewReport(v.member, v.boot, v.count, bulrushlug.ReportState(v.disk.name, 1))
		for _, f := range k.heard {
			f.ApplyReport(r)
		}
		for _, x := range k.vms {
			if x != v && x.alive && k.reaches(v.member.Name(), x.member.Name()) {
				x.peers.ApplyReport(r)
			}
		}
	}
}

func (k *cluster) reaches(a, b string) bool {
	return a == "front" || b == "front" || !k.cut[a] && !k.cut[b] && !k.apart[a] && !k.apart[b]
}

// network is what one process reaches.
type network struct {
	cluster *cluster
	from    string
}

// keeper returns the keeper at address a.
func (n network) keeper(c context.Context, a string) (*ReplicaManager, error) {
	if err := bulrushlug.Sleep(c, callDelay); err != nil {
		return nil, err
	}
	n.cluster.mu.Lock()
	v := n.cluster.vms[a]
	down, apart := v == nil || !v.alive, !n.cluster.reaches(n.from, a)
	n.cluster.mu.Unlock()
	if apart {
		_ = bulrushlug.Sleep(c, cutDelay)
	}
	if down || apart {
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, a, errCut)
	}
	return v.keeper, nil
}

// back fails if the answer of address a doesn't arrive.
func (n network) back(c context.Context, a string) error {
	_, err := n.keeper(c, a)
	return err
}

func (n network) Append(c context.Context, a string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	k, err := n.keeper(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	s, err := k.Append(u)
	return s, errors.Join(err, n.back(c, a))
}

func (n network) Verify(c context.Context, a, i string, e uint64) (bulrushlug.LotReplicaState, error) {
	k, err := n.keeper(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return k.Verify(i, e), n.back(c, a)
}

func (n network) Forget(c context.Context, a, i string, e uint64) error {
	k, err := n.keeper(c, a)
	if err == nil {
		k.Forget(i, e)
	}
	return err
}

func (n network) Withdraw(c context.Context, a, i, d string) error {
	k, err := n.keeper(c, a)
	if err == nil {
		k.Withdraw(i, d)
	}
	return err
}

func (n network) Submit(c context.Context, a string, l bulrushlug.Lot) error {
	k, err := n.keeper(c, a)
	if err != nil {
		return err
	}
	if err := k.Submit(c, l); err != nil {
		return err
	}
	return n.back(c, a)
}

func (n network) Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	k, err := n.keeper(c, a)
	if err != nil {
		return bulrushlug.LotPage{}, err
	}
	return k.Read(c, q)
}

func (n network) Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error) {
	k, err := n.keeper(c, a)
	if err != nil {
		return nil, err
	}
	return k.Body(c, q)
}

func (n network) End(c context.Context, a string, q bulrushlug.LotQuery) error {
	k, err := n.keeper(c, a)
	if err != nil {
		return err
	}
	if err := k.End(c, q); err != nil {
		return err
	}
	return n.back(c, a)
}

// front returns one of the front ends.
func (k *cluster) front() *locate.Router {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fronts[rand.IntN(len(k.fronts))]
}

// newFront starts front end n anew; it remembers no places.
func (k *cluster) newFront(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fronts[n] = locate.New(network{k, "front"}, k.table, "lot/", k.heard[n], k.out)
}

// submit hands in a lot of n items; a caller tries again after a while without an answer.
func (k *cluster) submit(i string, n int) {
	var l []bulrushlug.LotItem
	for x := range n {
		l = append(l, bulrushlug.NewLotItem(fmt.Sprint(i, "/", x), "/p", nil, []byte(fmt.Sprint("body ", x))))
	}
	k.mu.Lock()
	k.offered[i] = n
	k.mu.Unlock()
	for range 6 {
		c, stop := context.WithTimeout(k.c, 2*time.Second)
		err := k.front().Submit(c, bulrushlug.NewLot(i, "o", "r", "h", time.Now(), l))
		stop()
		if err == nil {
			k.mu.Lock()
			k.items[i] = n
			k.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// read reads a lot from position n on and checks what was read before.
func (k *cluster) read(i string, n int) error {
	c, stop := context.WithTimeout(k.c, 2*time.Second)
	defer stop()
	k.mu.Lock()
	_, before := k.seen[i][n]
	k.mu.Unlock()
	p, err := k.front().Read(c, bulrushlug.NewLotQuery(i, "o").WithAfter(n, 0))
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.Total() != k.offered[i] {
		k.t.Errorf("lot %s: total is %d, not %d", i, p.Total(), k.offered[i])
	}
	if k.seen[i] == nil {
		k.seen[i] = map[int]string{}
	}
	if before && len(p.Results()) == 0 {
		k.t.Errorf("lot %s: position %d was read, and there is nothing now", i, n)
	}
	for j, r := range p.Results() {
		s := r.ID() + ": " + r.Text()
		if old, ok := k.seen[i][n+j]; ok && old != s {
			k.t.Errorf("lot %s: position %d held %q and holds %q", i, n+j, old, s)
		}
		k.seen[i][n+j] = s
	}
	return nil
}

// readers read all lots until c ends.
func (k *cluster) readers(c context.Context, r *rand.Rand) {
	for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
		k.mu.Lock()
		var l []string
		for i := range k.items {
			l = append(l, i)
		}
		k.mu.Unlock()
		slices.Sort(l)
		for _, i := range l {
			k.mu.Lock()
			n, size := len(k.seen[i]), k.offered[i]
			k.mu.Unlock()
			if r.IntN(20) == 0 {
				k.submit(i, size)
			}
			if r.IntN(20) == 0 {
				k.newFront(r.IntN(len(k.fronts)))
			}
			from := r.IntN(n + 1)
			if err := k.read(i, from); bulrushlug.KindOf(err) == bulrushlug.KindNotFound && err != nil {
				k.t.Errorf("an accepted lot is not found: %v", err)
			}
		}
	}
}

// whole checks that every accepted lot has each item once, and what was read.
func (k *cluster) whole() {
	k.t.Helper()
	for i, n := range k.items {
		before := len(k.seen[i])
		if err := k.read(i, 0); err != nil {
			k.t.Errorf("lot %s can't be read: %v", i, err)
			continue
		}
		ids := map[string]int{}
		for _, s := range k.seen[i] {
			id, _, _ := strings.Cut(s, ":")
			ids[id]++
		}
		for id, x := range ids {
			if x > 1 {
				k.t.Errorf("lot %s: item %s stands at %d positions", i, id, x)
			}
		}
		if len(k.seen[i]) < before || !k.ended[i] && len(ids) != n {
			k.t.Errorf("lot %s: %d of %d items are listed, %d results were read before", i, len(ids), n, before)
		}
	}
}

// fault is something that happens to a cluster; it returns once it is over.
type fault func(k *cluster, r *rand.Rand)

func anyVM(k *cluster, r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var l []string
	for n, v := range k.vms {
		if v.alive {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l[r.IntN(len(l))]
}

func pause(r *rand.Rand) { time.Sleep(time.Duration(200+r.IntN(4000)) * time.Millisecond) }

var faults = map[string]fault{
	"kill": func(k *cluster, r *rand.Rand) {
		n := anyVM(k, r)
		d := k.kill(n)
		pause(r)
		k.start(n, d)
	},
	"kill all": func(k *cluster, r *rand.Rand) {
		d := map[string]*memDisk{}
		for n := range k.vms {
			d[n] = k.kill(n)
		}
		pause(r)
		for n, x := range d {
			k.start(n, x)
		}
	},
	"lose a disk": func(k *cluster, r *rand.Rand) {
		time.Sleep(5 * time.Second) // No more disks at once than are tolerated.
		n := anyVM(k, r)
		k.kill(n)
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		k.start(n, newDisk(fmt.Sprint("disk-new-", k.boots)))
		time.Sleep(5 * time.Second)
	},
	"cut": func(k *cluster, r *rand.Rand) {
		n := anyVM(k, r)
		k.mu.Lock()
		k.cut[n] = true
		k.mu.Unlock()
		pause(r)
		k.mu.Lock()
		delete(k.cut, n)
		k.mu.Unlock()
	},
	"lose a disk while one is cut off": func(k *cluster, r *rand.Rand) {
		if k.copies < 3 {
			return
		}
		time.Sleep(5 * time.Second) // No more disks at once than are tolerated.
		n, x := anyVM(k, r), anyVM(k, r)
		k.kill(n)
		k.mu.Lock()
		k.cut[x] = x != n
		k.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		k.start(n, newDisk(fmt.Sprint("disk-new-", k.boots)))
		pause(r)
		k.mu.Lock()
		delete(k.cut, x)
		k.mu.Unlock()
		time.Sleep(5 * time.Second)
	},
	"slow service and kill": func(k *cluster, r *rand.Rand) {
		k.mu.Lock()
		k.slow = true
		k.mu.Unlock()
		n := anyVM(k, r)
		d := k.kill(n)
		pause(r)
		k.start(n, d)
		pause(r)
		k.mu.Lock()
		k.slow = false
		k.mu.Unlock()
	},
	"cut from the others": func(k *cluster, r *rand.Rand) {
		n := anyVM(k, r)
		k.mu.Lock()
		k.apart[n] = true
		k.mu.Unlock()
		pause(r)
		k.mu.Lock()
		delete(k.apart, n)
		k.mu.Unlock()
	},
	"outage": func(k *cluster, r *rand.Rand) {
		k.table.SetOutage(true)
		pause(r)
		k.table.SetOutage(false)
	},
	"outage and kill": func(k *cluster, r *rand.Rand) {
		k.table.SetOutage(true)
		n := anyVM(k, r)
		d := k.kill(n)
		pause(r)
		k.table.SetOutage(false)
		pause(r)
		k.start(n, d)
	},
	"lost answers": func(k *cluster, r *rand.Rand) {
		k.table.DropResponses(3)
		n := anyVM(k, r)
		d := k.kill(n)
		pause(r)
		k.start(n, d)
		k.table.DropResponses(0)
	},
	"late writes": func(k *cluster, r *rand.Rand) {
		k.table.DelayWrites(2)
		n := anyVM(k, r)
		d := k.kill(n)
		pause(r)
		k.start(n, d)
		k.table.DelayWrites(0)
	},
	"retire": func(k *cluster, r *rand.Rand) {
		n := anyVM(k, r)
		k.mu.Lock()
		k.retiring[n] = true
		v := k.vms[n]
		k.mu.Unlock()
		empty := false
		for range 50 {
			if time.Sleep(100 * time.Millisecond); v.keeper.Count() == 0 {
				empty = true
				break
			}
		}
		if empty {
			k.kill(n)
			k.start(n, newDisk(fmt.Sprint("disk-empty-", k.boots)))
		}
		k.mu.Lock()
		delete(k.retiring, n)
		k.mu.Unlock()
	},
	"end a lot": func(k *cluster, r *rand.Rand) {
		i := fmt.Sprint("ended-", k.boots, "-", r.IntN(1000))
		k.submit(i, 40)
		time.Sleep(500 * time.Millisecond)
		c, stop := context.WithTimeout(k.c, 3*time.Second)
		defer stop()
		if k.front().End(c, bulrushlug.NewLotQuery(i, "o")) == nil {
			k.mu.Lock()
			k.ended[i] = true
			k.mu.Unlock()
		}
	},
}

// sizes are the clusters on which faults are played.
var sizes = map[string]struct{ vms, copies int }{
	"two copies":   {vms: 4, copies: 2},
	"three copies": {vms: 6, copies: 3},
}

// play runs the given faults while lots come in and are read, on clusters of all sizes.
func play(t *testing.T, seed uint64, names []string) {
	for name, x := range sizes {
		t.Run(name, func(t *testing.T) { playOn(t, seed, names, x.vms, x.copies) })
	}
}

func playOn(t *testing.T, seed uint64, names []string, vms, copies int) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := context.WithCancel(t.Context())
		r := rand.New(rand.NewPCG(seed, seed))
		k := newCluster(t, c, vms, copies)
		var w sync.WaitGroup
		reading, quiet := context.WithCancel(c)
		w.Go(func() { k.readers(reading, rand.New(rand.NewPCG(seed, 1))) })
		for i := range 12 {
			w.Go(func() {
				time.Sleep(time.Duration(i) * 700 * time.Millisecond)
				k.submit(fmt.Sprint("lot-", i), 10)
			})
		}
		for _, n := range names {
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
			faults[n](k, r)
		}
		time.Sleep(recovery)
		quiet()
		w.Wait()
		k.whole()
		stop()
		synctest.Wait()
	})
}

func TestOneFault(t *testing.T) {
	for name := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed, []string{name}) })
			}
		})
	}
}

func TestFaultTwice(t *testing.T) {
	for name := range faults {
		t.Run(name, func(t *testing.T) { play(t, 7, []string{name, name}) })
	}
}

// TestFaults plays series of faults; LOTS_SEEDS sets how many.
func TestFaults(t *testing.T) {
	n := 20
	if s, err := strconv.Atoi(os.Getenv("LOTS_SEEDS")); err == nil {
		n = s
	}
	var all []string
	for name := range faults {
		all = append(all, name)
	}
	slices.Sort(all)
	for seed := range n {
		r := rand.New(rand.NewPCG(uint64(seed), 99))
		var l []string
		for range 4 {
			l = append(l, all[r.IntN(len(all))])
		}
		t.Run(fmt.Sprint(seed, " ", strings.Join(l, ", ")), func(t *testing.T) { play(t, uint64(seed), l) })
	}
}

// primary returns the VM that answers for lot i.
func (k *cluster) primary(i string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, v := range k.vms {
		if v.alive && v.keeper.find(bulrushlug.NewLotQuery(i, "o")) == nil {
			return n
		}
	}
	k.t.Fatalf("nobody answers for lot %s", i)
	return ""
}

// TestReplacedPrimary shows that a primary that was replaced without knowing it does not answer with old results.
func TestReplacedPrimary(t *testing.T) {
	for name, cut := range map[string]func(k *cluster) map[string]bool{
		"cut off from all but callers": func(k *cluster) map[string]bool { return k.cut },
		"cut off from the other disks": func(k *cluster) map[string]bool { return k.apart },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				k.submit("lot", 100)
				time.Sleep(time.Second)
				p := k.primary("lot")
				k.mu.Lock()
				k.vms[p].runs = 0
				cut(k)[p] = true
				k.mu.Unlock()
				old := bulrushlug.NewLotQuery("lot", "o")
				had, _ := k.vms[p].keeper.Read(c, old)
				time.Sleep(5 * time.Second)
				k.newFront(0)
				now, err := k.fronts[0].Read(c, old)
				if err != nil || len(now.Results()) <= len(had.Results()) {
					t.Fatalf("%d results after a takeover, %d before: %v", len(now.Results()), len(had.Results()), err)
				}
				late, err := k.vms[p].keeper.Read(c, old)
				if err == nil && len(late.Results()) < len(now.Results()) {
					t.Errorf("the replaced primary answers with %d results, and %d were read", len(late.Results()), len(now.Results()))
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestResendBeforeConfirmation shows that a lot that comes again before its replica knows that it was accepted costs no copy.
func TestResendBeforeConfirmation(t *testing.T) {
	for name, by := range map[string]string{"at the replica": "d1", "at the primary": "d0"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				if by == "d0" {
					if err := k.vms["d0"].keeper.Submit(c, l); err != nil {
						t.Fatal(err)
					}
				}
				u := bulrushlug.NewLotUpdate("lot", firstEpoch, []string{"disk-0", "disk-1"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false)
				if s, err := k.vms["d1"].keeper.Append(u); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				err := k.vms[by].keeper.Submit(c, l)
				if by == "d1" && (err == nil || bulrushlug.KindOf(err) != bulrushlug.KindMisdirected) || by == "d0" && err != nil {
					t.Errorf("%v", err)
				}
				if s := k.vms["d1"].keeper.Verify("lot", firstEpoch); !s.OK() || s.Length() != 1 {
					t.Errorf("the replica has %+v", s)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestHolds shows how long items of a lot may go on at a primary that does not hear its replica, and how long their progress is kept.
func TestHolds(t *testing.T) {
	for name, x := range map[string]struct {
		after     time.Duration
		run, keep bool
	}{
		"a short silence":  {after: 1300 * time.Millisecond, run: true, keep: true},
		"a longer silence": {after: 3 * time.Second, keep: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				k.submit("lot", 100)
				time.Sleep(time.Second)
				p := k.primary("lot")
				k.mu.Lock()
				k.cut[p] = true
				k.mu.Unlock()
				time.Sleep(x.after)
				if run, keep := k.vms[p].keeper.Ownership("lot"); run != x.run || keep != x.keep {
					t.Errorf("run %v, keep %v", run, keep)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestPromiseWhileTheRecordIsWritten shows that a claim whose disk promised a later epoch meanwhile confirms only its
// own epoch, and that the lot is read again afterwards.
func TestPromiseWhileTheRecordIsWritten(t *testing.T) {
	for name, at := range map[string]time.Duration{
		"while the copies are placed":     slowDelay + callDelay,
		"while the record is on its way":  slowDelay + slowDelay/4,
		"while the answer is on its way":  slowDelay + slowDelay*3/4,
		"just before the answer is there": 2*slowDelay + 2*callDelay - time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 6, 3)
				k.submit("lot", 10)
				time.Sleep(5 * time.Second)
				p := k.primary("lot")
				var l []string
				var e []bulrushlug.LotEntry
				k.vms[p].keeper.with("lot", func(x *lot) { l, e = slices.Clone(x.replicas), slices.Clone(x.entries) })
				claimer := k.vms["d"+strings.TrimPrefix(l[1], "disk-")].keeper
				k.mu.Lock()
				k.slow = true
				k.mu.Unlock()
				var w sync.WaitGroup
				w.Go(func() { _ = claimer.claim(c, "lot") })
				time.Sleep(at)
				other := bulrushlug.NewLotUpdate("lot", 3, []string{l[2], l[1], l[0]}, 0, e, false)
				s, err := claimer.Append(other)
				if err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				w.Wait()
				claimer.with("lot", func(x *lot) {
					if x.epoch == 3 && x.confirmed {
						t.Error("an epoch is confirmed that the record does not name")
					}
				})
				time.Sleep(recovery)
				k.whole()
				stop()
				synctest.Wait()
			})
		})
	}
}
