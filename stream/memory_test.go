package stream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// TestLargeEvents guards against an event that is held without bound: its memory is reserved, and given back in the end.
func TestLargeEvents(t *testing.T) {
	event := func(n int) string { return "data: " + strings.Repeat("x", n) + "\n\n" }
	for name, x := range map[string]struct {
		budget    int
		in        string
		events    int
		oversized bool // The stream ends with ErrOversized, not io.EOF.
		reserved  bool // Memory was reserved.
	}{
		"a small event, without memory":     {in: event(10), events: 1},
		"small events, without memory":      {in: strings.Repeat(event(1000), 100), events: 100},
		"a large event":                     {budget: 1 << 20, in: event(100 << 10), events: 1, reserved: true},
		"large events":                      {budget: 1 << 20, in: strings.Repeat(event(100<<10), 20), events: 20, reserved: true},
		"a large event, without memory":     {in: event(100 << 10), oversized: true},
		"a large event, not enough":         {budget: 100 << 10, in: event(100 << 10), oversized: true, reserved: true},
		"the largest event":                 {budget: 8 << 20, in: event(maxEventBytes - 8), events: 1, reserved: true},
		"an event that is too large":        {budget: 8 << 20, in: event(maxEventBytes), oversized: true, reserved: true},
		"an event without end":              {budget: 8 << 20, in: strings.Repeat("x", 4<<20), oversized: true, reserved: true},
		"an event without end, many lines":  {budget: 8 << 20, in: strings.Repeat("x\n", 2<<20), oversized: true, reserved: true},
		"an event without end, after small": {budget: 8 << 20, in: event(10) + strings.Repeat("x", 4<<20), events: 1, oversized: true, reserved: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := memory.New(x.budget)
			r := New(strings.NewReader(x.in), m)
			n := 0
			_, err := r.Next()
			for ; err == nil; _, err = r.Next() {
				n++
			}
			if n != x.events || errors.Is(err, bulrushlug.ErrOversized) != x.oversized || !x.oversized && !errors.Is(err, io.EOF) {
				t.Errorf("%d events, %v", n, err)
			}
			if x.oversized && bulrushlug.KindOf(err) != bulrushlug.KindBroken {
				t.Errorf("the error has kind %v", bulrushlug.KindOf(err))
			}
			if (m.Used() > 0) != x.reserved {
				t.Errorf("%d bytes are reserved", m.Used())
			}
			r.Close()
			if m.Used() != 0 {
				t.Errorf("%d bytes are reserved after Close", m.Used())
			}
		})
	}
}
