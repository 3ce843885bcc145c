package lots

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
)

// confirmer is a client of replicas that may not answer updates, and counts the lots that are to be forgotten.
type confirmer struct {
	acceptor
	silent  bool
	forgets int
}

func (a *confirmer) Append(c context.Context, d string, u bulrushlug.LotUpdate) (bulrushlug.LotReplicaState, error) {
	if a.silent {
		return bulrushlug.LotReplicaState{}, errors.New("no answer")
	}
	return a.acceptor.Append(c, d, u)
}

func (a *confirmer) Forget(context.Context, string, string, uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgets++
	return nil
}

// TestForgottenBeforeConfirmed guards against an old replica that is told to forget a lot which the new ones have not
// confirmed to have.
func TestForgottenBeforeConfirmed(t *testing.T) {
	for name, x := range map[string]struct {
		silent  bool // The new replicas do not answer.
		forgets int
		lots    int // Lots that are left on the disk that hands over.
	}{
		"confirmed":  {forgets: 1},
		"no answers": {silent: true, lots: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &confirmer{silent: x.silent}
				m := memtxn.New()
				p := peers.New(bulrushlug.NewMember("r", "r", "r", "z", "data"), 1, "r", m, "vm/", time.Second, log.NewNopLogger())
				for _, n := range []string{"o", "q", "s"} {
					p.ApplyReport(bulrushlug.NewReport(bulrushlug.NewMember(n, n, "r", "z", "data"), 1, 1, bulrushlug.ReportState(n, 1)))
				}
				k := New(newDisk("r"), a, m, "lot/", p, log.NewNopLogger(), WithReplicationFactor(2), WithRetention(time.Hour))
				l := []bulrushlug.LotEntry{bulrushlug.NewLotHeadEntry(bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)}))}
				for _, u := range []bulrushlug.LotUpdate{bulrushlug.NewLotUpdate("lot", 1, []string{"r", "o"}, 0, l, true), bulrushlug.NewLotUpdate("lot", 2, []string{"q", "s"}, 0, l, false)} {
					if s, err := k.Append(u); err != nil || !s.OK() {
						t.Fatal(s, err)
					}
				}
				old := bulrushlug.NewLotRecord(1, []string{"r", "o"}, "o")
				now := bulrushlug.NewLotRecord(2, []string{"q", "s"}, "o")
				if err := k.finishReconfiguration(t.Context(), "lot", old, now); err != nil {
					t.Error(err)
				}
				time.Sleep(time.Second)
				a.mu.Lock()
				defer a.mu.Unlock()
				if a.forgets != x.forgets || k.LotCount() != x.lots {
					t.Errorf("%d replicas were told to forget the lot, %d lots are left here", a.forgets, k.LotCount())
				}
			})
		})
	}
}
