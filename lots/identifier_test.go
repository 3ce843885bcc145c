package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestIdentifierOfAnotherOrganisation guards against a lot that is acknowledged but never kept, as another organisation has one
// with its identifier.
func TestIdentifierOfAnotherOrganisation(t *testing.T) {
	for name, x := range map[string]struct {
		organisation string
		fresh        bool // The second submission comes through a front end that does not know the first.
		ok           bool
	}{
		"the same organisation":                         {organisation: "o", ok: true},
		"the same organisation, another front end":      {organisation: "o", fresh: true, ok: true},
		"another organisation":                          {organisation: "p"},
		"another organisation through another front":    {organisation: "p", fresh: true},
		"no organisation, which is another one as well": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 4, 2)
				k.submit("lot", 2)
				if x.fresh {
					k.newFront(0)
					k.newFront(1)
				}
				w, end := context.WithTimeout(c, 2*time.Second)
				defer end()
				begun := time.Now()
				err := k.front().Submit(w, bulrushlug.NewLot("lot", x.organisation, "r", "h", time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)}))
				if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != bulrushlug.KindConflict {
					t.Errorf("Submit returned %v", err)
				}
				if d := time.Since(begun); d > time.Second {
					t.Errorf("answered after %v", d)
				}
				time.Sleep(recoveryTime)
				k.checkComplete()
				stop()
				synctest.Wait()
			})
		})
	}
}
