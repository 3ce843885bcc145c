package lots

import (
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// gatedDrop is a disk on which the removal of a log waits until the gate is open.
type gatedDrop struct {
	*memDisk
	entered, gate chan struct{}
}

func (d gatedDrop) Drop(i string) error {
	close(d.entered)
	<-d.gate
	return d.memDisk.Drop(i)
}

// TestDropDuringAppend guards against an acknowledged log that is removed together with an earlier one of the same lot.
func TestDropDuringAppend(t *testing.T) {
	for name, x := range map[string]struct {
		drop  func(k *ReplicaManager)
		epoch uint64 // Epoch of the log that arrives meanwhile.
		late  bool   // The log arrives before the drop.
	}{
		"a withdrawn draft that comes again":                 {drop: func(k *ReplicaManager) { k.Withdraw("lot", "p") }, epoch: firstEpoch},
		"a forgotten lot that comes again":                   {drop: func(k *ReplicaManager) { k.Forget("lot", firstEpoch) }, epoch: firstEpoch + 1},
		"a withdrawal that comes after a reconfiguration":    {drop: func(k *ReplicaManager) { k.Withdraw("lot", "p") }, epoch: firstEpoch + 1, late: true},
		"a lot forgotten in an epoch before the present one": {drop: func(k *ReplicaManager) { k.Forget("lot", firstEpoch) }, epoch: firstEpoch + 1, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := memtxn.New()
			p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", m, "vm/", time.Second, log.NewNopLogger())
			d := gatedDrop{newDisk("r"), make(chan struct{}), make(chan struct{})}
			k := New(d, nil, m, "lot/", p, log.NewNopLogger())
			l := bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
			appendLog := func(epoch uint64) bool {
				s, err := k.Append(bulrushlug.NewLotUpdate("lot", epoch, []string{"p", "r"}, 0, []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(l)}, false))
				return err == nil && s.OK()
			}
			if !appendLog(firstEpoch) || x.late && !appendLog(x.epoch) {
				t.Fatal("a log was not accepted")
			}
			var w sync.WaitGroup
			acknowledged := x.late
			if x.late {
				close(d.gate)
				x.drop(k)
			} else {
				w.Go(func() { x.drop(k) })
				<-d.entered
				w.Go(func() { acknowledged = appendLog(x.epoch) })
				time.Sleep(50 * time.Millisecond) // Time for the log to arrive while the removal waits.
				close(d.gate)
			}
			w.Wait()
			stored := false
			_ = d.Load(func(u bulrushlug.LotUpdate) { stored = stored || u.Epoch() == x.epoch })
			if acknowledged && !stored {
				t.Error("the acknowledged log is gone")
			}
		})
	}
}
