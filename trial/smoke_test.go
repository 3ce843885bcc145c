package trial

import (
	"context"
	"testing"
	"time"
)

// TestFleetConverges checks that a change reaches all processes of a healthy fleet.
func TestFleetConverges(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newVirtualFleet(t, 1, 0, 3, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		n, err := f.propose(0, org("zvonik", 10, 5))
		if err != nil {
			t.Fatal(err)
		}
		t.Log("revision", n, time.Now())
		time.Sleep(3 * time.Second)
		for _, p := range f.all() {
			if r := p.control.State().Config().Revision(); r < n || !p.control.State().Fresh() {
				t.Errorf("%s: revision %d, fresh %v", p.member.Name(), r, p.control.State().Fresh())
			}
		}
		ok := 0
		for i := range 9 {
			if err := f.node(i).control.Quota().Take(context.Background(), "zvonik"); err == nil {
				ok++
			} else {
				t.Log(err)
			}
		}
		t.Log("admitted", ok)
	})
}
