package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/even"
)

func TestExplain(t *testing.T) {
	full := []bulrushlug.Usage{bulrushlug.NewUsage("full", 10, 0)}
	servers := map[string]bulrushlug.Backend{
		"full":     backend("full", 8),
		"failed":   backend("failed", 8),
		"draining": backend("draining", 8, bulrushlug.BackendDraining(true)),
		"leaving":  backend("leaving", 8),
		"busy":     backend("busy", 8),
		"well":     backend("well", 8),
		"other":    bulrushlug.NewBackend("other", "another service", "10.0.0.2:80"),
	}
	for name, x := range map[string]struct {
		servers []string
		want    map[string]string // Reasons.
		chosen  string
	}{
		"the lowest score": {servers: []string{"busy", "well", "other"}, chosen: "well", want: map[string]string{"busy": "", "well": "lowestScore"}},
		"all exclusions": {servers: []string{"full", "failed", "draining", "leaving", "well"}, chosen: "well",
			want: map[string]string{"full": "full", "failed": "backOff", "draining": "draining", "leaving": "leaving", "well": "lowestScore"}},
		"only a failed one": {servers: []string{"failed", "draining"}, chosen: "failed", want: map[string]string{"failed": "lowestScoreInBackOff", "draining": "draining"}},
		"none":              {servers: []string{"full"}, want: map[string]string{"full": "full"}},
		"no server":         {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone, WithChooser(even.New()))
				var l []bulrushlug.Backend
				skip := map[string]bool{}
				for _, id := range x.servers {
					l = append(l, servers[id])
					skip[id] = id != "failed"
				}
				b.Update(l)
				if r, _ := b.AcquireOnline("s", skip); r != nil {
					r.RecordFailure()
					r.Release()
				}
				b.UpdateRemote("d", append(full, bulrushlug.NewUsage("busy", 7, 0)))
				b.RecordDeparture(bulrushlug.NewDeparture(servers["leaving"], "", ""))
				time.Sleep(200 * time.Millisecond)
				got := b.Explain("s")
				if len(got) != len(x.want) {
					t.Errorf("%d servers, want %d", len(got), len(x.want))
				}
				for i, p := range got {
					if id := p.Backend().ID(); p.Reason() != x.want[id] || p.IsChosen() != (id == x.chosen) || p.IsChosen() && i > 0 {
						t.Errorf("%s at %d: %q, chosen %v", id, i, p.Reason(), p.IsChosen())
					}
				}
				if n := len(b.Usages()); n > 1 {
					t.Errorf("%d servers with requests after an explanation", n)
				}
			})
		})
	}
}
