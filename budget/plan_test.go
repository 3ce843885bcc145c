package budget

import "testing"

// TestPlan has the parts of each VM fit its memory and its descriptors.
func TestPlan(t *testing.T) {
	for name, x := range map[string]struct {
		megabytes, descriptors, limit int
		connections                   int
	}{
		"the smallest VM":        {megabytes: 144, descriptors: 3075, connections: 658},
		"a small twin":           {megabytes: 160, descriptors: 3415, connections: 746},
		"a VM with a disk":       {megabytes: 304, descriptors: 8200, connections: 1535},
		"a large VM":             {megabytes: 536, descriptors: 8192, connections: 2808},
		"few descriptors":        {megabytes: 536, descriptors: 500, connections: 150},
		"a limit of operators":   {megabytes: 536, descriptors: 8192, limit: 100, connections: 100},
		"a limit that is no use": {megabytes: 144, descriptors: 3075, limit: 5000, connections: 658},
		"less than the runtime":  {megabytes: 16, descriptors: 300, connections: minConnections},
	} {
		t.Run(name, func(t *testing.T) {
			m := x.megabytes << 20
			p := New(m, x.descriptors, x.limit)
			n := p.Connections()
			if n != x.connections {
				t.Errorf("%d connections, want %d", n, x.connections)
			}
			if n == minConnections {
				return
			}
			if 2*n+ownDescriptors > x.descriptors {
				t.Errorf("%d connections do not fit %d descriptors", n, x.descriptors)
			}
			sum := runtimeBytes + n*placeBytes + p.HeadBytes() + p.BodyBytes() + p.ResponseBytes()
			if sum*100 > m*85 {
				t.Errorf("the parts have %d MB of %d", sum>>20, x.megabytes)
			}
			if l := runtimeBytes + p.LotBytes() + p.MessageBytes(true) + p.ResponseBytes(); l*100 > m*85 {
				t.Errorf("the parts of a process with lots have %d MB of %d", l>>20, x.megabytes)
			}
			if l := p.Lots() + p.Peers(true); l < 2 || l > (x.descriptors-ownDescriptors)*3/4 {
				t.Errorf("%d lots and %d connections do not fit %d descriptors", p.Lots(), p.Peers(true), x.descriptors)
			}
			if p.HeapLimit() >= m || p.HeapLimit() < sum-nativeBytes {
				t.Errorf("the heap has %d MB of %d, its parts %d", p.HeapLimit()>>20, x.megabytes, (sum-nativeBytes)>>20)
			}
		})
	}
}
