package lots

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
)

// TestRetireWhileAnotherDiskIsUnreachable guards against lots that nobody holds any more: a VM is emptied while another
// replica is unreachable, so that no new replica is in the old record.
func TestRetireWhileAnotherDiskIsUnreachable(t *testing.T) {
	kill := func(k *cluster, n string) func() {
		d := k.kill(n)
		return func() { k.start(n, d) }
	}
	cut := func(k *cluster, n string) func() {
		k.setIsolated(n, true)
		return func() { k.setIsolated(n, false) }
	}
	for name, x := range map[string]struct {
		down       func(k *cluster, n string) (up func())
		writeDelay time.Duration // How long writes to the key-value service take.
	}{
		"killed":                   {down: kill},
		"killed, writes are slow":  {down: kill, writeDelay: 400 * time.Millisecond},
		"cut off":                  {down: cut},
		"cut off, writes are slow": {down: cut, writeDelay: 400 * time.Millisecond},
		"cut off, writes take longer than a promise lasts": {down: cut, writeDelay: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				for i := range 40 {
					k.submit(fmt.Sprint("lot-", i), 3)
				}
				time.Sleep(3 * time.Second)
				k.checkComplete()
				k.setWriteDelay(x.writeDelay)
				k.setRetiring("d0", true)
				up := x.down(k, "d1")
				time.Sleep(2800 * time.Millisecond)
				up()
				emptied := false
				for range 100 {
					if time.Sleep(100 * time.Millisecond); k.vms["d0"].manager.LotCount() == 0 {
						emptied = true
						break
					}
				}
				if !emptied {
					t.Fatalf("%d lots are still on the VM", k.vms["d0"].manager.LotCount())
				}
				k.kill("d0")
				k.setWriteDelay(0)
				time.Sleep(recoveryTime)
				k.checkComplete()
				stop()
				synctest.Wait()
			})
		})
	}
}

// setWriteDelay sets how long a write is on its way to the key-value service beyond the usual delay.
func (k *cluster) setWriteDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writeDelay = d
}

// setRetiring sets whether operators are retiring VM n.
func (k *cluster) setRetiring(n string, v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retiring[n] = v
}

// TestPromiseIsKept guards against a replica that drops a log which it acknowledged to a reconfiguration that may still
// write its record; once it gives up, no late write may name it.
func TestPromiseIsKept(t *testing.T) {
	for name, x := range map[string]struct {
		sender   string // Disk of the process that runs the reconfiguration.
		retiring bool   // The replica's own VM is to be emptied.
		after    time.Duration
		kept     bool
	}{
		"at first":                           {sender: "disk-0", after: promiseTimeout, kept: true},
		"the deadline is over":               {sender: "disk-0", after: orphanTimeout / 2, kept: true},
		"a sender that does not name itself": {after: orphanTimeout / 2, kept: true},
		"the sender is gone":                 {sender: "disk-9", after: orphanTimeout / 2, kept: true},
		"at last":                            {sender: "disk-0", after: orphanTimeout + 2*draftTimeout},
		"the replica is to be emptied":       {sender: "disk-0", retiring: true, after: 2*promiseTimeout + draftTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				b, err := codec.EncodeLotRecord(bulrushlug.NewLotRecord(firstEpoch, []string{"disk-0", "disk-1"}, "o"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := k.store.Commit(c, nil, []bulrushlug.Write{bulrushlug.PutWrite("lot/lot", b, 0)}); err != nil {
					t.Fatal(err)
				}
				n := k.recordRevision("lot")
				u := bulrushlug.NewLotUpdate("lot", firstEpoch+1, []string{"disk-2", "disk-3"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false).WithSender(x.sender)
				if s, err := k.vms["d2"].manager.Append(u); err != nil || !s.OK() {
					t.Fatal(s, err)
				}
				k.setRetiring("d2", x.retiring)
				time.Sleep(x.after)
				if kept := k.vms["d2"].manager.LotCount() > 0; kept != x.kept {
					t.Errorf("kept: %v", kept)
				}
				if !x.kept && k.recordRevision("lot") == n {
					t.Error("a late write of the record would still succeed")
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// recordRevision returns the revision of the record of lot i.
func (k *cluster) recordRevision(i string) uint64 {
	x, err := k.store.Get(k.c, "lot/"+i)
	if err != nil {
		k.t.Error(err)
	}
	return x.Revision()
}
