package trial

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestWaysToSpread compares ways to disseminate a change to 300 processes in 5 zones, 5 % of which are dead but still
// on the VM list.
func TestWaysToSpread(t *testing.T) {
	const zones, each = 5, 60
	bubble(t, func(t *testing.T) {
		f := newVirtualFleet(t, 29, 0, zones, each)
		defer f.close()
		time.Sleep(10 * time.Second)
		r := rand.New(rand.NewPCG(37, 1))
		dead := map[int]bool{}
		for len(dead) < zones*each/20 {
			i := r.IntN(zones * each)
			if i > 0 && !dead[i] {
				dead[i] = true
				f.kill(f.order[i])
			}
		}
		time.Sleep(2 * time.Second)
		var messages atomic.Int64
		f.net.OnSend(func(_ bulrushlug.Member, m bulrushlug.Message) {
			if len(m.Changes()) > 0 {
				messages.Add(1)
			}
		})
		at := time.Now()
		n, err := f.propose(0, org("zvonik", 1, 1))
		if err != nil {
			t.Fatal(err)
		}
		f.waitFor(n, 20*time.Second)
		t.Logf("trees with anti-entropy queries: all %d live processes after %v, %d messages with the change", zones*each-len(dead), time.Since(at), messages.Load())
		alive := func(i int) bool { return !dead[i] }
		rounds, sent, reached := simulateGossip(r, zones*each, alive)
		t.Logf("push gossip, fan-out 3, one round per 500 ms: %d of %d after %v, %d messages", reached, zones*each-len(dead), time.Duration(rounds)*500*time.Millisecond, sent)
		sent, reached = simulateTree(zones*each, alive)
		t.Logf("one fixed tree, fan-out 3: %d of %d, %d messages", reached, zones*each-len(dead), sent)
	})
}

// simulateGossip simulates push gossip, in which every informed process sends the change to three random ones in each
// round, until all live ones have it.
func simulateGossip(r *rand.Rand, n int, alive func(i int) bool) (rounds, sent, reached int) {
	has := map[int]bool{0: true}
	want := 0
	for i := range n {
		if alive(i) {
			want++
		}
	}
	for ; len(has) < want && rounds < 100; rounds++ {
		var l []int
		for i := range n {
			if has[i] {
				l = append(l, i)
			}
		}
		for range l {
			for range 3 {
				sent++
				if j := r.IntN(n); alive(j) {
					has[j] = true
				}
			}
		}
	}
	return rounds, sent, len(has)
}

// simulateTree sends the change down one fixed tree, where the descendants of a dead process receive nothing.
func simulateTree(n int, alive func(i int) bool) (sent, reached int) {
	has := make([]bool, n)
	has[0] = true
	for i := range n {
		if !has[i] {
			continue
		}
		reached++
		for k := 3*i + 1; k <= 3*i+3 && k < n; k++ {
			sent++
			has[k] = alive(k)
		}
	}
	return sent, reached
}
