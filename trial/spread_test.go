package trial

import (
	"math/rand/v2"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestWaysToSpread compares how a change reaches 300 processes in 5 zones of which 5 in 100 are dead and still listed.
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
		messages := 0
		f.net.OnSend(func(_ bulrushlug.Member, m bulrushlug.Message) {
			if len(m.Changes()) > 0 {
				messages++
			}
		})
		at := time.Now()
		n, err := f.propose(0, org("zvonik", 1, 1))
		if err != nil {
			t.Fatal(err)
		}
		f.waitFor(n, 20*time.Second)
		t.Logf("trees with questions: all %d live processes after %v, %d messages with the change", zones*each-len(dead), time.Since(at), messages)
		alive := func(i int) bool { return !dead[i] }
		rounds, sent, reached := gossip(r, zones*each, alive)
		t.Logf("random gossip, fan-out 3, a round each 500 ms: %d of %d after %v, %d messages", reached, zones*each-len(dead), time.Duration(rounds)*500*time.Millisecond, sent)
		sent, reached = fixedTree(zones*each, alive)
		t.Logf("one fixed tree, fan-out 3: %d of %d, %d messages", reached, zones*each-len(dead), sent)
	})
}

// gossip has every process that has the change send it to three others in each round, until all live ones have it.
func gossip(r *rand.Rand, n int, alive func(i int) bool) (rounds, sent, reached int) {
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

// fixedTree sends the change down one tree, in which the processes below a dead one get nothing.
func fixedTree(n int, alive func(i int) bool) (sent, reached int) {
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
