package lots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestLotsOfAnotherHost guards against a lot that is read at a host to which it was not submitted.
func TestLotsOfAnotherHost(t *testing.T) {
	for name, x := range map[string]struct {
		submitted, asked string
		found            bool
	}{
		"the same":           {submitted: "h.example", asked: "h.example", found: true},
		"in another case":    {submitted: "H.example", asked: "h.EXAMPLE", found: true},
		"with a port":        {submitted: "h.example:8080", asked: "h.example", found: true},
		"any":                {submitted: "h.example", found: true},
		"another":            {submitted: "h.example", asked: "i.example"},
		"an IPv6 address":    {submitted: "[::1]:80", asked: "::1", found: true},
		"a host within it":   {submitted: "h.example", asked: "example"},
		"submitted without":  {submitted: "", asked: "h.example"},
		"neither has a host": {found: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				k := newCluster(t, c, 2, 2)
				l := bulrushlug.NewLot("lot", "o", "r", x.submitted, time.Now(), []bulrushlug.LotItem{bulrushlug.NewLotItem("i", "/", nil, nil)})
				if err := k.fronts[0].Submit(c, l); err != nil {
					t.Fatal(err)
				}
				q := bulrushlug.NewLotQuery("lot", "o").WithItem("i").WithHost(x.asked)
				_, read := k.fronts[0].Read(c, q)
				_, body := k.fronts[0].Body(c, q)
				for what, err := range map[string]error{"read": read, "body": body, "end": k.fronts[0].End(c, q)} {
					if x.found != (err == nil) || err != nil && bulrushlug.KindOf(err) != bulrushlug.KindNotFound {
						t.Errorf("%s: %v", what, err)
					}
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
