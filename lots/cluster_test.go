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
	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/locate"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	callDelay        = time.Millisecond
	unreachableDelay = 400 * time.Millisecond // Time after which a call to an unreachable VM fails.
	slowDelay        = 250 * time.Millisecond // Response time of the key-value service while it is slow.
	reportInterval   = 100 * time.Millisecond
	itemInterval     = 200 * time.Millisecond
	retention        = 5 * time.Minute
	clockStep        = 1 << 20 // Steps of clocks, as numbers of starts.
	// recoveryTime is the time after the last fault by which all lots must be complete again.
	recoveryTime = 12 * time.Second
)

// memDisk is a disk that outlives the process that uses it.
type memDisk struct {
	mu      sync.Mutex
	name    string
	full    bool          // Writes fail.
	delay   time.Duration // How long a write takes; those in progress end at once when it is set to zero.
	updates map[string][]bulrushlug.LotUpdate
	encoded map[string][][]byte // The same updates as they are on a disk.
}

func newDisk(n string) *memDisk {
	return &memDisk{name: n, updates: map[string][]bulrushlug.LotUpdate{}, encoded: map[string][][]byte{}}
}

func (d *memDisk) writeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

func (d *memDisk) Append(u bulrushlug.LotUpdate) error {
	for begun := time.Now(); time.Since(begun) < d.writeDelay(); {
		time.Sleep(100 * time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("disk is full")
	}
	b, err := proto.Marshal(codec.EncodeLotUpdate(u))
	if err != nil {
		return err
	}
	d.updates[u.Lot()] = append(d.updates[u.Lot()], u)
	d.encoded[u.Lot()] = append(d.encoded[u.Lot()], b)
	return nil
}

func (d *memDisk) Load(f func(u bulrushlug.LotUpdate)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.encoded {
		for _, b := range l {
			w := &wire.LotAppend{}
			if err := proto.Unmarshal(b, w); err != nil {
				return err
			}
			u, err := codec.DecodeLotUpdate(w)
			if err != nil {
				return err
			}
			f(u)
		}
	}
	return nil
}

func (d *memDisk) Drop(i string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.updates, i)
	delete(d.encoded, i)
	return nil
}

// vm is one process with a disk.
type vm struct {
	member   bulrushlug.Member
	disk     *memDisk
	boot     uint64
	sequence uint64
	peers    *peers.Membership
	manager  *ReplicaManager
	alive    bool
	stop     context.CancelFunc
	runs     int // Items that the process has run.
}

// cluster is a set of processes, the network between them and the key-value service.
type cluster struct {
	t                 *testing.T
	c                 context.Context
	mu                sync.Mutex
	store             *memtxn.Store
	vms               map[string]*vm
	partitioned       map[string]bool    // VMs that reach neither other VMs nor the key-value service.
	isolated          map[string]bool    // VMs that reach the key-value service but no other VM.
	oneWay            map[[2]string]bool // The second VM gets nothing from the first one.
	clockBack         bool               // The clocks of VMs that start are back.
	retiring          map[string]bool
	fronts            []*locate.Router
	frontPeers        []*peers.Membership       // Processes known to each front end.
	readResults       map[string]map[int]string // Results that callers read, by lot and position.
	accepted          map[string]int            // Items of each accepted lot.
	submitted         map[string]int            // Items of each submitted lot.
	refused           map[string]bool           // Lots of which every attempt was told that no part of them runs.
	ended             map[string]bool
	undone            map[string]bool // Identifiers of items that no run completes.
	boots             uint64
	replicationFactor int           // Disks that hold accepted lots.
	slow              bool          // The key-value service is slow.
	resultSize        int           // Bytes that each result has at least.
	largest           int           // Bytes of the largest update that was sent.
	writeDelay        time.Duration // How long a write is on its way to the key-value service beyond that.
	logger            log.Logger
}

var errUnreachable = errors.New("VM is unreachable")

func newCluster(t *testing.T, c context.Context, n, factor int) *cluster {
	k := &cluster{t: t, c: c, replicationFactor: factor, store: memtxn.New(), vms: map[string]*vm{}, partitioned: map[string]bool{}, isolated: map[string]bool{}, oneWay: map[[2]string]bool{}, retiring: map[string]bool{},
		readResults: map[string]map[int]string{}, accepted: map[string]int{}, submitted: map[string]int{}, refused: map[string]bool{}, ended: map[string]bool{}, undone: map[string]bool{}, logger: log.NewNopLogger()}
	if os.Getenv("LOTS_LOG") != "" {
		k.logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	}
	for i := range n {
		k.start(fmt.Sprint("d", i), newDisk(fmt.Sprint("disk-", i)))
	}
	for i := range 2 {
		k.frontPeers = append(k.frontPeers, peers.New(bulrushlug.NewMember("front", "front", "r", fmt.Sprint("z", i), bulrushlug.RoleEntry), 1, "", k.store, "vm/", time.Second, k.logger))
		k.fronts = append(k.fronts, nil)
		k.newFront(i)
	}
	go func() {
		for bulrushlug.Sleep(c, reportInterval) == nil {
			k.deliverReports()
		}
	}()
	time.Sleep(startupTime + reportInterval)
	return k
}

// vmStore is the key-value service as one VM reaches it, with latency and partitions.
type vmStore struct {
	*memtxn.Store
	cluster *cluster
	vm      string
}

// wait simulates the latency of a request to the service or of its response.
func (t vmStore) wait(c context.Context) {
	t.cluster.mu.Lock()
	d := callDelay
	if t.cluster.slow {
		d = slowDelay / 2
	}
	t.cluster.mu.Unlock()
	_ = bulrushlug.Sleep(c, d)
}

func (t vmStore) Get(c context.Context, k string) (bulrushlug.KVEntry, error) {
	t.wait(c)
	defer t.wait(c)
	if t.cluster.isPartitioned(t.vm) {
		return bulrushlug.KVEntry{}, bulrushlug.Errorf(bulrushlug.KindStoreDown, "VM is partitioned")
	}
	return t.Store.Get(c, k)
}

func (t vmStore) Commit(c context.Context, l []bulrushlug.Condition, w []bulrushlug.Write) (uint64, error) {
	t.wait(c)
	t.cluster.mu.Lock()
	d := t.cluster.writeDelay
	t.cluster.mu.Unlock()
	_ = bulrushlug.Sleep(c, d)
	defer t.wait(c)
	if t.cluster.isPartitioned(t.vm) {
		return 0, bulrushlug.Errorf(bulrushlug.KindStoreDown, "VM is partitioned")
	}
	return t.Store.Commit(c, l, w)
}

func (k *cluster) isPartitioned(v string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.partitioned[v]
}

// start starts a process on VM n with disk d.
func (k *cluster) start(n string, d *memDisk) {
	k.mu.Lock()
	k.boots++
	c, stop := context.WithCancel(k.c)
	zone := "z" + strings.TrimPrefix(n, "d")
	v := &vm{member: bulrushlug.NewMember(n, n, "r", zone, "data").WithDataFolder(true), disk: d, boot: clockStep + k.boots, alive: true, stop: stop}
	if k.clockBack {
		v.boot -= clockStep
	}
	t := vmStore{k.store, k, n}
	l := log.With(k.logger, "vm", n)
	v.peers = peers.New(v.member, v.boot, d.name, t, "vm/", time.Second, l)
	v.manager = New(d, network{k, n}, t, "lot/", v.peers, l, WithReplicationFactor(k.replicationFactor), WithRetention(retention), WithRetiring(func(x string) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.retiring[x]
	}))
	k.vms[n] = v
	k.mu.Unlock()
	if err := v.manager.Load(); err != nil {
		k.t.Error(err)
	}
	go func() { _ = v.manager.Run(c) }()
	go k.run(c, v)
}

// kill ends the process on VM n at once and returns its disk.
func (k *cluster) kill(n string) *memDisk {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.vms[n]
	v.alive = false
	v.stop()
	return v.disk
}

// run finishes items of the lots that v runs; each run of an item has a different text.
func (k *cluster) run(c context.Context, v *vm) {
	for bulrushlug.Sleep(c, itemInterval) == nil {
		v.manager.EachRunnable(func(l bulrushlug.Lot, left []uint32) {
			n := left[rand.IntN(len(left))]
			v.runs++
			k.mu.Lock()
			if k.refused[l.ID()] {
				k.t.Errorf("lot %s runs, of which every attempt was refused", l.ID())
			}
			undone := k.undone[l.Items()[n].ID()]
			k.mu.Unlock()
			if undone {
				return
			}
			v.manager.RecordResult(c, l.ID(), bulrushlug.NewLotResult(n, true, fmt.Sprint(l.ID(), " ", n, " run ", v.runs, " at boot ", v.boot)+strings.Repeat(".", k.resultSize)))
		})
	}
}

// deliverReports delivers the reports of all processes to those that they reach.
func (k *cluster) deliverReports() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.vms {
		if !v.alive {
			continue
		}
		v.sequence++
		r := bulrushlug.NewReport(v.member, v.boot, v.sequence, bulrushlug.ReportState(v.disk.name, 1))
		for _, f := range k.frontPeers {
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
	return a == "front" || b == "front" || !k.oneWay[[2]string{a, b}] && !k.partitioned[a] && !k.partitioned[b] && !k.isolated[a] && !k.isolated[b]
}

// network is the network as one process reaches it.
type network struct {
	cluster *cluster
	from    string
}

// manager returns the manager at address a.
func (n network) manager(c context.Context, a string) (*ReplicaManager, error) {
	return n.message(c, a, n.from, a)
}

// response fails if the response of address a does not arrive.
func (n network) response(c context.Context, a string) error {
	_, err := n.message(c, a, a, n.from)
	return err
}

// message sends a message between this process and address a, from the VM from to the VM to, and returns the manager at a.
func (n network) message(c context.Context, a, from, to string) (*ReplicaManager, error) {
	if err := bulrushlug.Sleep(c, callDelay); err != nil {
		return nil, err
	}
	n.cluster.mu.Lock()
	v := n.cluster.vms[a]
	down, unreachable := v == nil || !v.alive, !n.cluster.reaches(from, to)
	n.cluster.mu.Unlock()
	if unreachable {
		_ = bulrushlug.Sleep(c, unreachableDelay)
	}
	if down || unreachable {
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, a, errUnreachable)
	}
	return v.manager, nil
}

func (n network) Append(c context.Context, a string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	size := proto.Size(codec.EncodeLotUpdate(u))
	n.cluster.mu.Lock()
	n.cluster.largest = max(n.cluster.largest, size)
	n.cluster.mu.Unlock()
	if size > lotcli.MaxMessageSize {
		return bulrushlug.LotReplicaState{}, bulrushlug.Errorf(bulrushlug.KindUncertain, "message of %d bytes", size)
	}
	k, err := n.manager(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	var s bulrushlug.LotReplicaState
	done := make(chan struct{})
	go func() {
		s, err = k.Append(u)
		close(done)
	}()
	select {
	case <-done:
		return s, errors.Join(err, n.response(c, a))
	case <-c.Done():
		return bulrushlug.LotReplicaState{}, bulrushlug.WrapError(bulrushlug.KindUncertain, a, c.Err())
	}
}

func (n network) Verify(c context.Context, a, i string, e uint64) (bulrushlug.LotReplicaState, error) {
	k, err := n.manager(c, a)
	if err != nil {
		return bulrushlug.LotReplicaState{}, err
	}
	return k.Verify(i, e), n.response(c, a)
}

func (n network) Forget(c context.Context, a, i string, e uint64) error {
	k, err := n.manager(c, a)
	if err == nil {
		k.Forget(i, e)
	}
	return err
}

func (n network) Withdraw(c context.Context, a, i, d string) error {
	k, err := n.manager(c, a)
	if err == nil {
		k.Withdraw(i, d)
	}
	return err
}

func (n network) Submit(c context.Context, a string, l bulrushlug.Lot) error {
	k, err := n.manager(c, a)
	if err != nil {
		return err
	}
	if err := k.Submit(c, l); err != nil {
		return err
	}
	return n.response(c, a)
}

func (n network) Read(c context.Context, a string, q bulrushlug.LotQuery) (bulrushlug.LotPage, error) {
	k, err := n.manager(c, a)
	if err != nil {
		return bulrushlug.LotPage{}, err
	}
	return k.Read(c, q)
}

func (n network) Body(c context.Context, a string, q bulrushlug.LotQuery) ([]byte, error) {
	k, err := n.manager(c, a)
	if err != nil {
		return nil, err
	}
	return k.Body(c, q)
}

func (n network) End(c context.Context, a string, q bulrushlug.LotQuery) error {
	k, err := n.manager(c, a)
	if err != nil {
		return err
	}
	if err := k.End(c, q); err != nil {
		return err
	}
	return n.response(c, a)
}

// setDisk sets whether writes to the disk n fail, and how long they take.
func (k *cluster) setDisk(n string, full bool, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.vms {
		if v.disk.name == n {
			v.disk.mu.Lock()
			v.disk.full, v.disk.delay = full, delay
			v.disk.mu.Unlock()
		}
	}
}

// setIsolated sets whether VM n reaches no other VM.
func (k *cluster) setIsolated(n string, v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isolated[n] = v
}

// setClockBack sets whether the clocks of VMs that start are back.
func (k *cluster) setClockBack(v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clockBack = v
}

// front returns a random front end.
func (k *cluster) front() *locate.Router {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fronts[rand.IntN(len(k.fronts))]
}

// newFront restarts front end n with an empty cache of primaries.
func (k *cluster) newFront(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fronts[n] = locate.New(network{k, "front"}, k.store, "lot/", k.frontPeers[n], k.logger)
}

// submit submits a lot of n items and retries after a timeout, as a caller does. A refusal promises that no part of the
// lot runs, so an accepted lot may not be refused.
func (k *cluster) submit(i string, n int) {
	var l []bulrushlug.LotItem
	for x := range n {
		l = append(l, bulrushlug.NewLotItem(fmt.Sprint(i, "/", x), "/p", nil, []byte(fmt.Sprint("body ", x))))
	}
	k.mu.Lock()
	k.submitted[i] = n
	accepted := k.accepted[i] > 0
	k.mu.Unlock()
	refused := true
	for range 6 {
		c, stop := context.WithTimeout(k.c, 2*time.Second)
		err := k.front().Submit(c, bulrushlug.NewLot(i, "o", "r", "h", time.Now(), l))
		stop()
		if err == nil {
			k.mu.Lock()
			k.accepted[i] = n
			k.mu.Unlock()
			return
		}
		if r := bulrushlug.KindOf(err).Response(); r.MayHaveRun() {
			refused = false
		} else if accepted {
			k.t.Errorf("lot %s was accepted, and its resubmission refused: %v", i, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
	k.mu.Lock()
	k.refused[i] = refused && !accepted
	k.mu.Unlock()
}

// read reads a lot from position n on and compares the results with those read before.
func (k *cluster) read(i string, n int) error {
	c, stop := context.WithTimeout(k.c, 2*time.Second)
	defer stop()
	k.mu.Lock()
	_, seen := k.readResults[i][n]
	k.mu.Unlock()
	p, err := k.front().Read(c, bulrushlug.NewLotQuery(i, "o").WithAfter(n, 0))
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.Total() != k.submitted[i] {
		k.t.Errorf("lot %s: total is %d, not %d", i, p.Total(), k.submitted[i])
	}
	if k.readResults[i] == nil {
		k.readResults[i] = map[int]string{}
	}
	if seen && len(p.Results()) == 0 {
		k.t.Errorf("lot %s: position %d was read before and is empty now", i, n)
	}
	for j, r := range p.Results() {
		s := r.ID() + ": " + r.Text()
		if old, ok := k.readResults[i][n+j]; ok && old != s {
			k.t.Errorf("lot %s: position %d changed from %q to %q", i, n+j, old, s)
		}
		k.readResults[i][n+j] = s
	}
	return nil
}

// readLots reads all lots until c ends, with random resubmissions and restarts of front ends.
func (k *cluster) readLots(c context.Context, r *rand.Rand) {
	for bulrushlug.Sleep(c, 100*time.Millisecond) == nil {
		k.mu.Lock()
		var l []string
		for i := range k.accepted {
			l = append(l, i)
		}
		k.mu.Unlock()
		slices.Sort(l)
		for _, i := range l {
			k.mu.Lock()
			n, size := len(k.readResults[i]), k.submitted[i]
			k.mu.Unlock()
			if r.IntN(20) == 0 {
				k.submit(i, size)
			}
			if r.IntN(20) == 0 {
				k.newFront(r.IntN(len(k.fronts)))
			}
			from := r.IntN(n + 1)
			if err := k.read(i, from); bulrushlug.KindOf(err) == bulrushlug.KindNotFound && err != nil {
				k.t.Errorf("accepted lot not found: %v", err)
			}
		}
	}
}

// checkComplete checks that every accepted lot has each item once and still has all results that were read.
func (k *cluster) checkComplete() {
	k.t.Helper()
	for i, n := range k.accepted {
		before := len(k.readResults[i])
		if err := k.read(i, 0); err != nil {
			k.t.Errorf("lot %s cannot be read: %v", i, err)
			continue
		}
		ids := map[string]int{}
		for _, s := range k.readResults[i] {
			id, _, _ := strings.Cut(s, ":")
			ids[id]++
		}
		for id, x := range ids {
			if x > 1 {
				k.t.Errorf("lot %s: item %s is at %d positions", i, id, x)
			}
		}
		if len(k.readResults[i]) < before || !k.ended[i] && len(ids) != n {
			k.t.Errorf("lot %s: %d of %d items have results, %d results were read before", i, len(ids), n, before)
		}
	}
}

// fault injects a fault into a cluster and returns once it is over.
type fault func(k *cluster, r *rand.Rand)

func randomVM(k *cluster, r *rand.Rand) string {
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

func randomPause(r *rand.Rand) { time.Sleep(time.Duration(200+r.IntN(4000)) * time.Millisecond) }

var faults = map[string]fault{
	"kill": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.start(n, d)
	},
	"kill all": func(k *cluster, r *rand.Rand) {
		d := map[string]*memDisk{}
		for n := range k.vms {
			d[n] = k.kill(n)
		}
		randomPause(r)
		for n, x := range d {
			k.start(n, x)
		}
	},
	"lose a disk": func(k *cluster, r *rand.Rand) {
		time.Sleep(5 * time.Second) // Keeps disk losses within the tolerance.
		n := randomVM(k, r)
		k.kill(n)
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		k.start(n, newDisk(fmt.Sprint("disk-new-", k.boots)))
		time.Sleep(5 * time.Second)
	},
	"loss of power with lost disks": wipeSome,
	"cut": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		k.mu.Lock()
		k.partitioned[n] = true
		k.mu.Unlock()
		randomPause(r)
		k.mu.Lock()
		delete(k.partitioned, n)
		k.mu.Unlock()
	},
	"lose a disk while one is cut off": func(k *cluster, r *rand.Rand) {
		if k.replicationFactor < 3 {
			return
		}
		time.Sleep(5 * time.Second) // Keeps disk losses within the tolerance.
		n, x := randomVM(k, r), randomVM(k, r)
		k.kill(n)
		k.mu.Lock()
		k.partitioned[x] = x != n
		k.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		k.start(n, newDisk(fmt.Sprint("disk-new-", k.boots)))
		randomPause(r)
		k.mu.Lock()
		delete(k.partitioned, x)
		k.mu.Unlock()
		time.Sleep(5 * time.Second)
	},
	"slow service and kill": func(k *cluster, r *rand.Rand) {
		k.mu.Lock()
		k.slow = true
		k.mu.Unlock()
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.start(n, d)
		randomPause(r)
		k.mu.Lock()
		k.slow = false
		k.mu.Unlock()
	},
	"cut from the others": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		k.mu.Lock()
		k.isolated[n] = true
		k.mu.Unlock()
		randomPause(r)
		k.mu.Lock()
		delete(k.isolated, n)
		k.mu.Unlock()
	},
	"one way": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		k.mu.Lock()
		for x := range k.vms {
			k.oneWay[[2]string{n, x}] = x != n && r.IntN(2) == 0
		}
		k.mu.Unlock()
		randomPause(r)
		k.mu.Lock()
		clear(k.oneWay)
		k.mu.Unlock()
	},
	"restarts with an earlier clock": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.setClockBack(true)
		k.start(n, d)
		k.setClockBack(false)
		randomPause(r)
		k.start(n, k.kill(n))
	},
	"loss of power, and clocks are back": func(k *cluster, r *rand.Rand) {
		k.setClockBack(true)
		wipeSome(k, r)
		k.setClockBack(false)
	},
	"outage": func(k *cluster, r *rand.Rand) {
		k.store.SetOutage(true)
		randomPause(r)
		k.store.SetOutage(false)
	},
	"outage and kill": func(k *cluster, r *rand.Rand) {
		k.store.SetOutage(true)
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.store.SetOutage(false)
		randomPause(r)
		k.start(n, d)
	},
	"lost answers": func(k *cluster, r *rand.Rand) {
		k.store.DropResponses(3)
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.start(n, d)
		k.store.DropResponses(0)
	},
	"late writes": func(k *cluster, r *rand.Rand) {
		k.store.DelayWrites(2)
		n := randomVM(k, r)
		d := k.kill(n)
		randomPause(r)
		k.start(n, d)
		k.store.DelayWrites(0)
	},
	"retire": func(k *cluster, r *rand.Rand) {
		n := randomVM(k, r)
		k.mu.Lock()
		k.retiring[n] = true
		v := k.vms[n]
		k.mu.Unlock()
		empty := false
		for range 50 {
			if time.Sleep(100 * time.Millisecond); v.manager.LotCount() == 0 {
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

// clusterSizes are the sizes of the clusters into which faults are injected.
var clusterSizes = map[string]struct{ vms, replicas int }{
	"two replicas":   {vms: 4, replicas: 2},
	"three replicas": {vms: 6, replicas: 3},
}

// runFaults injects the given faults while lots are submitted and read, on clusters of all sizes.
func runFaults(t *testing.T, seed uint64, names []string) {
	for name, x := range clusterSizes {
		t.Run(name, func(t *testing.T) { runFaultsOn(t, seed, names, x.vms, x.replicas) })
	}
}

func runFaultsOn(t *testing.T, seed uint64, names []string, vms, factor int) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := context.WithCancel(t.Context())
		r := rand.New(rand.NewPCG(seed, seed))
		k := newCluster(t, c, vms, factor)
		var w sync.WaitGroup
		reading, stopReading := context.WithCancel(c)
		w.Go(func() { k.readLots(reading, rand.New(rand.NewPCG(seed, 1))) })
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
		time.Sleep(recoveryTime)
		stopReading()
		w.Wait()
		k.checkComplete()
		stop()
		synctest.Wait()
	})
}

func TestOneFault(t *testing.T) {
	for name := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed, []string{name}) })
			}
		})
	}
}

func TestFaultTwice(t *testing.T) {
	for name := range faults {
		t.Run(name, func(t *testing.T) { runFaults(t, 7, []string{name, name}) })
	}
}

// TestFaults injects random series of faults; LOTS_SEEDS sets how many.
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
		t.Run(fmt.Sprint(seed, " ", strings.Join(l, ", ")), func(t *testing.T) { runFaults(t, uint64(seed), l) })
	}
}

// primary returns the VM that is the primary of lot i.
func (k *cluster) primary(i string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, v := range k.vms {
		if v.alive && v.manager.checkServing(bulrushlug.NewLotQuery(i, "o")) == nil {
			return n
		}
	}
	k.t.Fatalf("no VM is the primary of lot %s", i)
	return ""
}

// TestReplacedPrimary checks that a primary that was replaced while cut off does not return stale results.
func TestReplacedPrimary(t *testing.T) {
	for name, faulty := range map[string]func(k *cluster) map[string]bool{
		"cut off from all but callers": func(k *cluster) map[string]bool { return k.partitioned },
		"cut off from the other disks": func(k *cluster) map[string]bool { return k.isolated },
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
				faulty(k)[p] = true
				k.mu.Unlock()
				old := bulrushlug.NewLotQuery("lot", "o")
				had, _ := k.vms[p].manager.Read(c, old)
				time.Sleep(5 * time.Second)
				k.newFront(0)
				now, err := k.fronts[0].Read(c, old)
				if err != nil || len(now.Results()) <= len(had.Results()) {
					t.Fatalf("%d results after a takeover, %d before: %v", len(now.Results()), len(had.Results()), err)
				}
				late, err := k.vms[p].manager.Read(c, old)
				if err == nil && len(late.Results()) < len(now.Results()) {
					t.Errorf("replaced primary returned %d results after %d had been read", len(late.Results()), len(now.Results()))
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestResendBeforeConfirmation checks that a lot resent before its replica learned that it was accepted keeps that
// replica.
func TestResendBeforeConfirmation(t *testing.T) {
	for name, by := range map[string]string{"at the replica": "d1", "at the primary": "d0"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				if by == "d0" {
					if err := k.vms["d0"].manager.Submit(c, l); err != nil {
						t.Fatal(err)
					}
				}
				u := bulrushlug.NewLotUpdate("lot", firstEpoch, []string{"disk-0", "disk-1"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false)
				if s, err := k.vms["d1"].manager.Append(u); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				err := k.vms[by].manager.Submit(c, l)
				if by == "d1" && (err == nil || bulrushlug.KindOf(err) != bulrushlug.KindMisdirected) || by == "d0" && err != nil {
					t.Errorf("Submit returned %v", err)
				}
				if s := k.vms["d1"].manager.Verify("lot", firstEpoch); !s.OK() || s.Length() != 1 {
					t.Errorf("state of the replica is %+v", s)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestOwnership checks how long a primary that does not reach its replica may run items of a lot, and how long it
// keeps their progress.
func TestOwnership(t *testing.T) {
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
				k.partitioned[p] = true
				k.mu.Unlock()
				time.Sleep(x.after)
				if run, keep := k.vms[p].manager.Ownership("lot"); run != x.run || keep != x.keep {
					t.Errorf("Ownership returned run %v, keep %v", run, keep)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestPromiseWhileTheRecordIsWritten checks that a reconfiguration whose disk promised a later epoch meanwhile
// confirms only its own epoch, and that the record is read again afterwards.
func TestPromiseWhileTheRecordIsWritten(t *testing.T) {
	for name, at := range map[string]time.Duration{
		"while the replicas are placed":    slowDelay + callDelay,
		"while the record is on its way":   slowDelay + slowDelay/4,
		"while the response is on its way": slowDelay + slowDelay*3/4,
		"just before the response arrives": 2*slowDelay + 2*callDelay - time.Microsecond,
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
				k.vms[p].manager.withLot("lot", func(x *lot) { l, e = slices.Clone(x.replicas), slices.Clone(x.entries) })
				manager := k.vms["d"+strings.TrimPrefix(l[1], "disk-")].manager
				k.mu.Lock()
				k.slow = true
				k.mu.Unlock()
				var w sync.WaitGroup
				w.Go(func() { _ = manager.reconfigure(c, "lot") })
				time.Sleep(at)
				other := bulrushlug.NewLotUpdate("lot", 3, []string{l[2], l[1], l[0]}, 0, e, false)
				s, err := manager.Append(other)
				if err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				w.Wait()
				manager.withLot("lot", func(x *lot) {
					if x.epoch == 3 && x.confirmed {
						t.Error("confirmed an epoch that the record does not name")
					}
				})
				time.Sleep(recoveryTime)
				k.checkComplete()
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestAcceptedLotIsNotRefused submits a lot that is accepted although the answer of a replica or of the key-value
// service is missing: no error may promise that it does not run.
func TestAcceptedLotIsNotRefused(t *testing.T) {
	for name, f := range map[string]func(k *cluster, submit func() error) error{
		"the replica is lost after the record was written": func(k *cluster, submit func() error) error {
			go func() {
				time.Sleep(4*callDelay + callDelay/2) // The record is written after 3 callDelay, its response arrives after 4.
				k.setIsolated("d1", true)
			}()
			return submit()
		},
		"the replica is lost before a resubmission": func(k *cluster, submit func() error) error {
			if err := submit(); err != nil {
				k.t.Fatal(err)
			}
			k.setIsolated("d1", true)
			return submit()
		},
		"the response to the record is lost, and the record cannot be read": func(k *cluster, submit func() error) error {
			k.store.DropResponses(1)
			go func() {
				time.Sleep(5*callDelay + retryDelay/3 + callDelay/2) // The second write meets the record just before.
				k.store.SetOutage(true)
			}()
			return submit()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				err := f(k, func() error {
					x, stop := context.WithTimeout(c, 1500*time.Millisecond)
					defer stop()
					return k.vms["d0"].manager.Submit(x, l)
				})
				if err == nil || !bulrushlug.KindOf(err).Response().MayHaveRun() {
					t.Errorf("Submit returned %v", err)
				}
				k.store.SetOutage(false)
				k.setIsolated("d1", false)
				time.Sleep(recoveryTime)
				if p, err := k.fronts[0].Read(c, bulrushlug.NewLotQuery("lot", "o")); err != nil || len(p.Results()) != 1 {
					t.Errorf("%d results of the lot: %v", len(p.Results()), err)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestRefusedLot submits a lot whose replica is not reachable or holds the draft of another primary.
func TestRefusedLot(t *testing.T) {
	for name, x := range map[string]struct {
		draft bool // The replica holds the draft of another primary.
		want  bulrushlug.Kind
	}{
		"the replica is not reachable":      {want: bulrushlug.KindUnplaceable},
		"another primary has a draft there": {draft: true, want: bulrushlug.KindMisdirected},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				if x.draft {
					u := bulrushlug.NewLotUpdate("lot", firstEpoch, []string{"disk-9", "disk-1"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false)
					if s, err := k.vms["d1"].manager.Append(u); err != nil || !s.OK() {
						t.Fatal(s, err)
					}
				} else {
					k.setIsolated("d1", true)
				}
				if err := k.vms["d0"].manager.Submit(c, l); err == nil || bulrushlug.KindOf(err) != x.want {
					t.Errorf("Submit returned %v", err)
				}
				if k.vms["d0"].manager.LotCount() != 0 {
					t.Error("the refused lot is still on the disk")
				}
				time.Sleep(replicaTimeout) // The withdrawal is on its way.
				stop()
				synctest.Wait()
			})
		})
	}
}
