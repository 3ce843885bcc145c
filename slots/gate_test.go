package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// quota is a gate that admits a number of requests to each server that it names.
type quota map[string]int

func (quota) Evacuated(string) bool { return false }

func (q quota) Open(b bulrushlug.Backend, _ time.Time) bool {
	n, ok := q[b.ID()]
	return !ok || n > 0
}

func (q quota) Admit(b bulrushlug.Backend, t time.Time) bool {
	if !q.Open(b, t) {
		return false
	}
	if _, ok := q[b.ID()]; ok {
		q[b.ID()]--
	}
	return true
}

func (quota) Suspect(bulrushlug.Backend) {}

// TestColdServersFillUp has more requests than the gate admits at cold servers: what is admitted is used up, the rest goes
// to warm servers, and without these it is refused at once.
func TestColdServersFillUp(t *testing.T) {
	for name, x := range map[string]struct {
		servers  []bulrushlug.Backend
		admitted quota
		want     map[string]int // Requests of 8 that each server gets.
		items    bool
	}{
		"one cold, one warm":          {servers: []bulrushlug.Backend{backend("a", 8), backend("b", 8)}, admitted: quota{"a": 2}, want: map[string]int{"a": 2, "b": 6}},
		"all cold":                    {servers: []bulrushlug.Backend{backend("a", 8), backend("b", 8)}, admitted: quota{"a": 2, "b": 1}, want: map[string]int{"a": 2, "b": 1}},
		"cold and closed":             {servers: []bulrushlug.Backend{backend("a", 8)}, admitted: quota{"a": 0}},
		"items, one cold, one warm":   {servers: []bulrushlug.Backend{backend("a", 20), backend("b", 8)}, admitted: quota{"a": 2}, want: map[string]int{"a": 2, "b": 6}, items: true},
		"items, the reserve is cold":  {servers: []bulrushlug.Backend{backend("a", 20), backend("b", 8)}, admitted: quota{"a": 0}, want: map[string]int{"b": 8}, items: true},
		"items, all cold":             {servers: []bulrushlug.Backend{backend("a", 20)}, admitted: quota{"a": 2}, want: map[string]int{"a": 2}, items: true},
		"items, a server that is new": {servers: []bulrushlug.Backend{backend("a", 20)}, want: map[string]int{"a": 8}, items: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone, WithGate(x.admitted))
				b.Update(x.servers)
				got := map[string]int{}
				for range 8 {
					var l *Reservation
					if x.items {
						l = b.AcquireBatch("s")
					} else {
						l, _ = b.AcquireOnline("s", nil)
					}
					if l != nil {
						got[l.Backend().ID()]++
					}
				}
				for _, s := range x.servers {
					if got[s.ID()] != x.want[s.ID()] {
						t.Errorf("servers got %v, want %v", got, x.want)
					}
				}
			})
		})
	}
}
