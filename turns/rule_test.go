package turns

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestShare(t *testing.T) {
	order := []string{"a", "b", "c", "d"}
	for name, x := range map[string]struct {
		self    string
		waiting []string // Other processes with waiting items.
		slots   int
		age     time.Duration // Of the reports.
		want    int
	}{
		"alone":                         {self: "c", slots: 8, want: 8},
		"none idle":                     {self: "a"},
		"the first":                     {self: "a", waiting: []string{"b", "c", "d"}, slots: 5, want: 2},
		"the last":                      {self: "d", waiting: []string{"a", "b", "c"}, slots: 5, want: 1},
		"fewer slots than processes":    {self: "c", waiting: []string{"a", "b", "d"}, slots: 2},
		"the only slot":                 {self: "a", waiting: []string{"b", "c", "d"}, slots: 1, want: 1},
		"processes without items":       {self: "c", waiting: []string{"d"}, slots: 5, want: 3},
		"one that has not said it":      {self: "d", waiting: []string{"e"}, slots: 5, want: 5},
		"one that is not in the order":  {self: "e", slots: 5},
		"processes that say no more":    {self: "d", waiting: []string{"a", "b", "c"}, slots: 5, age: timeout, want: 5},
		"one that may take all is last": {self: "d", waiting: []string{"a"}, slots: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(x.self)
				for _, v := range x.waiting {
					r.Observe(v, true)
				}
				time.Sleep(x.age)
				if n := r.Share(order, x.slots); n != x.want {
					t.Errorf("%d slots", n)
				}
			})
		})
	}
}

// TestSharesAddUp guards against slots that two processes take, and ones that none takes.
func TestSharesAddUp(t *testing.T) {
	order := []string{"a", "b", "c", "d", "e"}
	for slots := range 12 {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			sum := 0
			for _, self := range order[:4] {
				r := New(self)
				for _, v := range order[:4] {
					r.Observe(v, true)
				}
				sum += r.Share(order, slots)
			}
			if sum != slots {
				t.Errorf("%d were taken", sum)
			}
		})
	}
}

func BenchmarkShare(b *testing.B) {
	for name, n := range map[string]int{"10 processes": 10, "100 processes": 100} {
		b.Run(name, func(b *testing.B) {
			var order []string
			r := New("v0")
			for i := range n {
				order = append(order, fmt.Sprint("v", n-1-i))
				r.Observe(order[i], i%4 == 0)
			}
			for b.Loop() {
				r.Share(order, 8)
			}
		})
	}
}
