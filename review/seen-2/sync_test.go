//go:build review

// Package seen has a test for what the drawn day restarts-then-power.toml was seen to do.
package seen

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/lotcli"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// disk is a log on a disk as DEPLOY.md tells it: what a process has written stays when the process is killed, and only what it
// has synced stays for certain after a loss of power.
type disk struct {
	written []bulrushlug.LotUpdate
	synced  int  // Updates that are synced; a sync covers all before it.
	killed  bool // The process is killed between its next write and the sync of it.
}

var errKilled = errors.New("the process was killed")

func (d *disk) Append(u bulrushlug.LotUpdate) error {
	d.written = append(d.written, u)
	if d.killed {
		return errKilled
	}
	d.synced = len(d.written)
	return nil
}

// Load does not sync anything, as lotlog.Load doesn't.
func (d *disk) Load(f func(u bulrushlug.LotUpdate)) error {
	for _, u := range d.written {
		f(u)
	}
	return nil
}

func (d *disk) Drop(string) error { return nil }

// start starts a replica on d.
func start(t *testing.T, d *disk, boot uint64) *lots.ReplicaManager {
	t.Helper()
	m := bulrushlug.NewMember("r", "127.0.0.1:1", "region", "zone", "data").WithDataFolder(true)
	s := memtxn.New()
	p := peers.New(m, boot, "replica", s, "vm/", time.Second, log.NewNopLogger())
	k := lots.New(d, lotcli.New(), s, "lot/", p, log.NewNopLogger(), lots.WithReplicationFactor(2))
	if err := k.Load(); err != nil {
		t.Fatal(err)
	}
	return k
}

// TestAcknowledgedIsSynced kills a replica between the write and the sync of a result. The primary sends the result again, as it got
// no answer: what the replica then acknowledges has to be synced, as the result is listed after that.
func TestAcknowledgedIsSynced(t *testing.T) {
	d := &disk{}
	k := start(t, d, 1)
	l := bulrushlug.NewLot("lot", "o", "route", "host", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
	both := []string{"primary", "replica"}
	head := bulrushlug.NewLotUpdate("lot", 1, both, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, true).WithSender("primary")
	result := bulrushlug.NewLotUpdate("lot", 1, both, 1, []bulrushlug.LotEntry{bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(0, true, "text"))}, true).WithSender("primary")
	if s, err := k.Append(head); err != nil || !s.OK() {
		t.Fatalf("the lot: %+v, %v", s, err)
	}
	d.killed = true
	if _, err := k.Append(result); !errors.Is(err, errKilled) {
		t.Fatalf("the killed process answered: %v", err)
	}
	d.killed = false
	k = start(t, d, 2)
	s, err := k.Append(result)
	if err != nil || !s.OK() {
		t.Fatalf("the result again: %+v, %v", s, err)
	}
	if d.synced < len(d.written) {
		t.Errorf("the replica acknowledged a result of which nothing is synced: %d of %d updates", d.synced, len(d.written))
	}
}
