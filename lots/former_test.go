package lots

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// acceptor is a client of replicas that accept all updates.
type acceptor struct {
	mu   sync.Mutex
	logs [][]bulrushlug.LotEntry // Whole logs that were sent.
}

func (a *acceptor) Append(_ context.Context, _ string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.Offset() == 0 {
		a.logs = append(a.logs, u.Entries())
	}
	return bulrushlug.NewLotReplicaState(true, u.Epoch(), u.Offset()+len(u.Entries())), nil
}

func (a *acceptor) Verify(_ context.Context, _, _ string, n uint64) (bulrushlug.LotReplicaState, error) {
	return bulrushlug.NewLotReplicaState(true, n, 0), nil
}

func (a *acceptor) Forget(context.Context, string, string, uint64) error   { return nil }
func (a *acceptor) Withdraw(context.Context, string, string, string) error { return nil }

// TestPublishedResultLostByFailedReconfiguration has a replica promise an epoch to a disk whose log is shorter, and whose
// reconfiguration fails: the replica goes on from the log of the record's epoch.
func TestPublishedResultLostByFailedReconfiguration(t *testing.T) {
	for name, x := range map[string]struct {
		unconfirmed bool // The replica has not heard that the record has its epoch.
		promises    int
		restart     bool   // The replica restarts after the promises.
		record      uint64 // Epoch of the record.
		want        int    // Entries of the log that it copies.
	}{
		"no promise":                       {record: 1, want: 3},
		"a promise":                        {promises: 1, record: 1, want: 3},
		"two promises":                     {promises: 2, record: 1, want: 3},
		"a restart":                        {promises: 1, restart: true, record: 1, want: 3},
		"an unconfirmed epoch":             {unconfirmed: true, promises: 1, record: 1, want: 3},
		"a reconfiguration that succeeded": {promises: 1, record: 2, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				m, d, a := memtxn.New(), newDisk("r"), &acceptor{}
				items := []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil), bulrushlug.NewLotItem("j", "/", nil, nil)}
				l := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), items)),
					bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(0, true, "a")), bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(1, true, "b"))}
				disks := []string{"p", "q", "s"} // Primaries by epoch.
				b, err := codec.EncodeLotRecord(bulrushlug.NewLotRecord(x.record, []string{disks[x.record-1], "r"}, "o"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := m.Commit(c, nil, []bulrushlug.Write{bulrushlug.PutWrite("lot/lot", b, 0)}); err != nil {
					t.Fatal(err)
				}
				start := func() (*ReplicaManager, *peers.Membership) {
					p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", m, "vm/", time.Second, log.NewNopLogger())
					k := New(d, a, m, "lot/", p, log.NewNopLogger(), WithReplicationFactor(2), WithRetention(time.Hour))
					if err := k.Load(); err != nil {
						t.Fatal(err)
					}
					return k, p
				}
				k, p := start()
				if s, err := k.Append(bulrushlug.NewLotUpdate("lot", 1, []string{"p", "r"}, 0, l, !x.unconfirmed)); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				for n := range x.promises {
					if s, err := k.Append(bulrushlug.NewLotUpdate("lot", uint64(n)+2, []string{disks[n+1], "r"}, 0, l[:2], false)); err != nil || !s.OK() {
						t.Fatal(s, err)
					}
				}
				if x.restart {
					k, p = start()
				}
				go func() { _ = k.Run(c) }()
				for n := range uint64(100) {
					p.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember("t", "t", "r", "y", "data"), 1, n+1, bulrushlug.ReportState("t", 1)))
					time.Sleep(100 * time.Millisecond)
				}
				a.mu.Lock()
				if len(a.logs) == 0 || len(a.logs[0]) != x.want {
					t.Errorf("logs that were copied: %v", a.logs)
				}
				a.mu.Unlock()
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
