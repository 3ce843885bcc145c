package arcs

import (
	"fmt"
	"math"
	"testing"
)

// TestArcs checks that the arcs of all processes cover the ring once, in proportion to their load.
func TestArcs(t *testing.T) {
	for name, x := range map[string]struct {
		load map[string]float64
		want map[string]float64 // Distance of the middle of the ring, by process.
	}{
		"alone":               {load: map[string]float64{"a": 7}, want: map[string]float64{"a": 0}},
		"two alike":           {load: map[string]float64{"a": 3, "b": 3}, want: map[string]float64{"a": 1, "b": 1}},
		"one with most":       {load: map[string]float64{"a": 9, "b": 1}, want: map[string]float64{"a": 1.0 / 9, "b": 3.6}},
		"the middle of three": {load: map[string]float64{"a": 1, "b": 2, "c": 1}, want: map[string]float64{"a": 3, "b": 0, "c": 3}},
		"none of its own":     {load: map[string]float64{"a": 1}, want: map[string]float64{"b": 2}},
	} {
		t.Run(name, func(t *testing.T) {
			for n, want := range x.want {
				if got := New(n, x.load).Distance(0.5); math.Abs(got-want) > 1e-9 {
					t.Errorf("%s is %v from the middle, want %v", n, got, want)
				}
			}
		})
	}
}

func TestPosition(t *testing.T) {
	for name, x := range map[string]struct {
		self string
		n    int
		want int
	}{
		"the first":  {self: "a", n: 40, want: 5},
		"the last":   {self: "d", n: 40, want: 35},
		"one server": {self: "d", n: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := New(x.self, map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1}).Position(x.n); got != x.want {
				t.Errorf("position %d, want %d", got, x.want)
			}
		})
	}
}

// TestArcsWithoutLoad guards against a herd after a restart of all processes.
func TestArcsWithoutLoad(t *testing.T) {
	const servers, least = 52, 16
	chosen := map[int]bool{}
	for i := range 24 {
		a := New(fmt.Sprint("entry-", i), nil)
		chosen[a.Position(servers)] = true
		if d := a.Distance(0.5); d < 0 || d > 1 {
			t.Errorf("distance %v", d)
		}
	}
	if len(chosen) < least {
		t.Errorf("24 processes prefer %d servers", len(chosen))
	}
}
