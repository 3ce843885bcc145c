package memory

import (
	"sync"
	"testing"
)

// TestShares has holders grow in turn until each is refused more.
func TestShares(t *testing.T) {
	for name, x := range map[string]struct {
		holders int
		want    int // Smallest share of a holder, in granules.
		left    int // Least that a further holder gets, in granules.
	}{
		"one":     {holders: 1, want: 500, left: 250},
		"two":     {holders: 2, want: 333, left: 166},
		"ten":     {holders: 10, want: 90, left: 45},
		"hundred": {holders: 100, want: 9, left: 4},
		"many":    {holders: 400, want: 2, left: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1000 * granule)
			held := make([]int, x.holders)
			for grown := true; grown; {
				grown = false
				for i := range held {
					grown = b.Hold(&held[i], held[i]+2*granule) || grown
				}
			}
			sum := 0
			for i, n := range held {
				if sum += n; n < x.want*granule {
					t.Errorf("holder %d got %d of %d bytes", i, n, x.want*granule)
				}
			}
			if b.Used() != int64(sum) || sum > 1000*granule {
				t.Errorf("%d bytes are used, the holders have %d", b.Used(), sum)
			}
			if b.Refused() == 0 {
				t.Error("no holder was refused")
			}
			next := 0
			for b.Hold(&next, next+2*granule) {
			}
			if next < x.left*granule {
				t.Errorf("a further holder got %d of %d bytes", next, x.left*granule)
			}
			for _, n := range append(held, next) {
				b.Release(&n)
			}
			if b.Used() != 0 {
				t.Errorf("%d bytes are used in the end", b.Used())
			}
		})
	}
}

// TestHold reserves memory for one holder of a certain size.
func TestHold(t *testing.T) {
	for name, x := range map[string]struct {
		limit, size int
		ok          bool
		reserved    int
	}{
		"nothing":                     {ok: true},
		"a byte":                      {size: 1, ok: true},
		"as much as is free":          {size: granule, ok: true},
		"a byte more, no memory":      {size: granule + 1},
		"a byte more":                 {limit: granule, size: granule + 1, ok: true, reserved: granule},
		"two granules":                {limit: granule, size: 2 * granule, ok: true, reserved: granule},
		"more than there is":          {limit: granule, size: 2*granule + 1},
		"less than a granule is left": {limit: 2*granule - 1, size: 3 * granule},
	} {
		t.Run(name, func(t *testing.T) {
			b, reserved := New(x.limit), 0
			for range 2 {
				if ok := b.Hold(&reserved, x.size); ok != x.ok || reserved != x.reserved || b.Used() != int64(reserved) {
					t.Errorf("%v with %d bytes reserved, %d used", ok, reserved, b.Used())
				}
			}
			if b.Release(&reserved); reserved != 0 || b.Used() != 0 {
				t.Errorf("%d bytes reserved, %d used in the end", reserved, b.Used())
			}
		})
	}
}

// TestConcurrentHolders has goroutines reserve and release at the same time.
func TestConcurrentHolders(t *testing.T) {
	b := New(100 * granule)
	var w sync.WaitGroup
	for range 16 {
		w.Go(func() {
			for range 1000 {
				held := 0
				for held < 20*granule && b.Hold(&held, held+2*granule) {
					if u := b.Used(); u < int64(held) || u > 100*granule {
						t.Errorf("%d bytes are used, one holder has %d", u, held)
					}
				}
				b.Release(&held)
			}
		})
	}
	w.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are used in the end", b.Used())
	}
}
