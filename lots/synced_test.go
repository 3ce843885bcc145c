package lots

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// cut is the moment of an append at which a process is killed.
type cut uint8

const (
	notKilled      = cut(iota)
	beforeWrite    // Nothing is written.
	beforeSync     // The update is written.
	beforeResponse // The update is synced.
)

var errKilled = errors.New("the process was killed")

// forgetfulDisk is a disk that keeps what was written when a process is killed, and only what was synced when power is lost.
type forgetfulDisk struct {
	written []bulrushlug.LotUpdate
	synced  int  // Updates that are synced; a sync covers all before it.
	cut     cut  // Of the next append.
	refuses bool // Appends fail.
}

func (d *forgetfulDisk) Append(u bulrushlug.LotUpdate) error {
	x := d.cut
	d.cut = notKilled
	if x == beforeWrite || d.refuses {
		return errKilled
	}
	d.written = append(d.written, u)
	if x == beforeSync {
		return errKilled
	}
	d.synced = len(d.written)
	if x == beforeResponse {
		return errKilled
	}
	return nil
}

func (d *forgetfulDisk) Load(f func(u bulrushlug.LotUpdate)) error {
	for _, u := range d.written {
		f(u)
	}
	return nil
}

func (d *forgetfulDisk) Drop(string) error { return nil }

// losePower takes away what was not synced.
func (d *forgetfulDisk) losePower() { d.written = d.written[:d.synced] }

// results returns the items with a result on the disk.
func (d *forgetfulDisk) results() map[uint32]bool {
	m := map[uint32]bool{}
	for _, u := range d.written {
		for _, e := range u.Entries() {
			if r := e.Result(); r != nil {
				m[r.Item()] = true
			}
		}
	}
	return m
}

// loneReplica is the replica of a lot on a disk that is not its primary's.
type loneReplica struct {
	t       *testing.T
	disk    *forgetfulDisk
	boot    uint64
	manager *ReplicaManager
}

var bothDisks = []string{"primary", "replica"}

// start starts the process, after an earlier one was killed or has lost power.
func (x *loneReplica) start() {
	x.boot++
	m := bulrushlug.NewMember("r", "127.0.0.1:1", "region", "zone", "data").WithDataFolder(true)
	s := memtxn.New()
	x.manager = New(x.disk, nil, s, "lot/", peers.New(m, x.boot, "replica", s, "vm/", time.Second, log.NewNopLogger()), log.NewNopLogger(), WithReplicationFactor(2))
	if err := x.manager.Load(); err != nil {
		x.t.Fatal(err)
	}
}

// append sends the entry at position n, as the primary does, and reports whether it was acknowledged.
func (x *loneReplica) append(n int, e bulrushlug.LotEntry) bool {
	s, err := x.manager.Append(bulrushlug.NewLotUpdate("lot", 1, bothDisks, n, []bulrushlug.LotEntry{e}, true).WithSender("primary"))
	return err == nil && s.OK() && s.Length() > n
}

func newLoneReplica(t *testing.T, items int) *loneReplica {
	var l []bulrushlug.LotItem
	for i := range items {
		l = append(l, bulrushlug.NewLotItem(fmt.Sprint("i", i), "/", nil, nil))
	}
	x := &loneReplica{t: t, disk: &forgetfulDisk{}}
	x.start()
	if !x.append(0, bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "route", "host", time.Now(), l))) {
		t.Fatal("the lot was not acknowledged")
	}
	return x
}

func resultEntry(i int) bulrushlug.LotEntry {
	return bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(uint32(i), true, "text"))
}

// TestAcknowledgedIsSynced guards against a result that was read and is lost: a replica that was killed between the write and the sync
// of a record reads it back, acknowledges it, and loses it with the power.
func TestAcknowledgedIsSynced(t *testing.T) {
	for name, x := range map[string]struct {
		cut     cut
		refuses bool // The disk takes no writes while the process starts.
		again   bool // The primary sends the result again, as it got no answer.
		counts  bool // The replica says that it has the result.
	}{
		"killed before the write":                  {cut: beforeWrite},
		"killed before the write, sent again":      {cut: beforeWrite, again: true, counts: true},
		"killed before the sync":                   {cut: beforeSync, counts: true},
		"killed before the sync, sent again":       {cut: beforeSync, again: true, counts: true},
		"killed before the response":               {cut: beforeResponse, counts: true},
		"killed before the response, sent again":   {cut: beforeResponse, again: true, counts: true},
		"the disk takes no writes":                 {cut: beforeSync, refuses: true},
		"the disk takes none at first, sent again": {cut: beforeSync, refuses: true, again: true, counts: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLoneReplica(t, 1)
			r.disk.cut = x.cut
			if r.append(1, resultEntry(0)) {
				t.Fatal("a process that was killed answered")
			}
			r.disk.refuses = x.refuses
			r.start()
			r.disk.refuses = false
			if x.again && !r.append(1, resultEntry(0)) {
				t.Error("the result is not acknowledged")
			}
			if got := r.manager.Verify("lot", 1).Length() == 2; got != x.counts {
				t.Errorf("the replica counts as a copy of the result: %v", got)
			}
			r.disk.losePower()
			if x.counts && !r.disk.results()[0] {
				t.Error("the replica acknowledged a result that the loss of power took away")
			}
		})
	}
}

// TestAcknowledgedIsSyncedInAnyOrder kills a replica at random points of its appends and has it lose power. LOTS_SEEDS sets the number
// of seeds.
func TestAcknowledgedIsSyncedInAnyOrder(t *testing.T) {
	const items = 30
	seeds := 50
	if n, err := strconv.Atoi(os.Getenv("LOTS_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := rand.New(rand.NewPCG(uint64(seed), 1))
			r := newLoneReplica(t, items)
			has := 0 // Results that the replica acknowledged, or says that it has.
			for range 200 {
				switch n := has; g.IntN(6) {
				case 0:
					r.disk.cut = cut(g.IntN(4))
				case 1:
					r.disk.refuses = g.IntN(3) == 0
					r.start()
					r.disk.refuses = false
				case 2:
					r.disk.losePower()
					r.start()
				case 3:
					has = max(has, r.manager.Verify("lot", 1).Length()-1)
				default:
					if n < items && r.append(n+1, resultEntry(n)) {
						has = n + 1
					}
				}
				left := slices.Sorted(maps.Keys((&forgetfulDisk{written: r.disk.written[:r.disk.synced]}).results()))
				if len(left) < has {
					t.Fatalf("%d results would be left after a loss of power, %d were acknowledged", len(left), has)
				}
			}
		})
	}
}
