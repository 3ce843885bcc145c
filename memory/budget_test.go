package memory

import (
	"sync"
	"testing"
)

const part = 1 << 10 // Bytes by which a holder grows.

// TestShares has holders grow in turn until each is refused more.
func TestShares(t *testing.T) {
	for name, x := range map[string]struct {
		holders int
		want    int // Smallest share of a holder, in parts.
		left    int // Least that a further holder gets, in parts.
	}{
		"one":     {holders: 1, want: 500, left: 250},
		"two":     {holders: 2, want: 333, left: 166},
		"ten":     {holders: 10, want: 90, left: 45},
		"hundred": {holders: 100, want: 9, left: 4},
		"many":    {holders: 400, want: 2, left: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1000 * part)
			held := make([]int, x.holders)
			for grown := true; grown; {
				grown = false
				for i := range held {
					if b.Reserve(held[i], part) {
						held[i] += part
						grown = true
					}
				}
			}
			sum := 0
			for i, n := range held {
				if sum += n; n < x.want*part {
					t.Errorf("holder %d got %d of %d bytes", i, n, x.want*part)
				}
			}
			if b.Used() != int64(sum) || sum > 1000*part {
				t.Errorf("%d bytes are used, the holders have %d", b.Used(), sum)
			}
			if b.Refused() == 0 {
				t.Error("no holder was refused")
			}
			next := 0
			for b.Reserve(next, part) {
				next += part
			}
			if next < x.left*part {
				t.Errorf("a further holder got %d of %d bytes", next, x.left*part)
			}
			for _, n := range append(held, next) {
				b.Release(n)
			}
			if b.Used() != 0 {
				t.Errorf("%d bytes are used in the end", b.Used())
			}
		})
	}
}

// TestConcurrentHolders has goroutines reserve and release at the same time.
func TestConcurrentHolders(t *testing.T) {
	b := New(100 * part)
	var w sync.WaitGroup
	for range 16 {
		w.Go(func() {
			for range 1000 {
				held := 0
				for held < 20*part && b.Reserve(held, part) {
					held += part
				}
				if u := b.Used(); u < int64(held) || u > 100*part {
					t.Errorf("%d bytes are used, one holder has %d", u, held)
				}
				b.Release(held)
			}
		})
	}
	w.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are used in the end", b.Used())
	}
}
