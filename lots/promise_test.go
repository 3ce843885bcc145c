package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// TestReadsWhilePromised has callers take a replica for the primary: while it waits for the reconfiguration to which it
// promised an epoch, it does not read the record over and over.
func TestReadsWhilePromised(t *testing.T) {
	for name, calls := range map[string]int{"no caller": 0, "one caller": 1, "a caller each 50 ms": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				m := memtxn.New()
				p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", m, "vm/", time.Second, log.NewNopLogger())
				k := New(newDisk("r"), nil, m, "lot/", p, log.NewNopLogger())
				x := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				l := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(x)}
				b, err := codec.EncodeLotRecord(bulrushlug.NewLotRecord(1, []string{"p", "r"}, "o"))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := m.Commit(c, nil, []bulrushlug.Write{bulrushlug.PutWrite("lot/lot", b, 0)}); err != nil {
					t.Fatal(err)
				}
				for _, u := range []bulrushlug.LotUpdate{bulrushlug.NewLotUpdate("lot", 1, []string{"p", "r"}, 0, l, true), bulrushlug.NewLotUpdate("lot", 2, []string{"q", "r"}, 0, l, false)} {
					if s, err := k.Append(u); err != nil || !s.OK() {
						t.Fatalf("epoch %d: %v, %v", u.Epoch(), s, err)
					}
				}
				m.SetDelay(5 * time.Millisecond)
				before := m.Calls()
				go func() { _ = k.Run(c) }()
				for range calls {
					_, _ = k.Read(c, bulrushlug.NewLotQuery("lot", "o"))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(promiseTimeout - 50*time.Millisecond*time.Duration(calls))
				if n := m.Calls() - before; n > 2*int(promiseTimeout/(retryDelay/2)) {
					t.Errorf("%d calls to the key-value service", n)
				}
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
