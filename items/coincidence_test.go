package items

import (
	"context"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/poison"
)

// lotPrompt returns a prompt whose first part all items of a lot share.
func lotPrompt(_ string, l []bulrushlug.Field) bulrushlug.Prompt {
	return bulrushlug.NewPrompt("r", "m", "shared", bulrushlug.FieldValue(l, ownField))
}

// TestItemsConvictedByCoincidence guards against items that are past their due time because servers ended together while
// requests with a part of their prompts waited there.
func TestItemsConvictedByCoincidence(t *testing.T) {
	for name, x := range map[string]struct {
		servers int           // Servers that end in each wave as a request with the parts waits there.
		others  int           // Servers that end beside them.
		waves   int           // Each a second after the other.
		parts   []string      // Of the requests that wait there.
		at      time.Duration // Time of the first wave after the lot came.
	}{
		"a shared part":              {servers: 3, waves: 1, parts: []string{"shared", "other"}},
		"in many waves":              {servers: 3, others: 9, waves: 8, parts: []string{"shared", "other"}},
		"an item's own part":         {servers: 3, waves: 1, parts: []string{"shared", "own-0"}},
		"its own part in many waves": {servers: 3, others: 9, waves: 8, parts: []string{"shared", "own-0"}},
		"at the end of the due time": {servers: 3, waves: 2, parts: []string{"shared", "other"}, at: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				d := poison.New(func(context.Context, string) bool { return true }, func() {}, log.NewNopLogger(), new(expvar.Map).Init())
				s := newSystemOf(c, nil, d, lotPrompt)
				s.table.Update(nil)
				if err := s.submitOwn(c, 4); err != nil {
					t.Fatal(err)
				}
				time.Sleep(x.at)
				for w := range x.waves {
					for n := range x.servers + x.others {
						id := fmt.Sprint("server-", w, "-", n)
						parts := append([]string{}, x.parts...)
						if n >= x.servers {
							parts = []string{"elsewhere-" + id, id}
						} else if parts[1] == "other" {
							parts[1] = id
						}
						d.RecordBroken(c, bulrushlug.NewBackend(id, "s", id+":1"), bulrushlug.NewPrompt("r", "m", parts...))
					}
					time.Sleep(time.Second)
				}
				s.table.Update([]bulrushlug.Backend{bulrushlug.NewBackend("b", "s", "h:1", bulrushlug.BackendZoneSlots("z", 4))})
				time.Sleep(18*time.Second - x.at - time.Duration(x.waves)*time.Second)
				if got := s.listed(t); len(got) != 4 || got["i0"] != whole() {
					t.Errorf("%d results after 18 s", len(got))
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
