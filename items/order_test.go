package items

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
	now := time.Now()
	due := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for name, x := range map[string]struct{ first, second task }{
		"due earlier":                         {task{due: due(5)}, task{due: due(6)}},
		"begun":                               {task{due: due(9), begun: true}, task{due: due(6)}},
		"can be in time":                      {task{due: due(9)}, task{due: due(1), late: true}},
		"can be in time, against a begun one": {task{due: due(9)}, task{due: due(1), late: true, begun: true}},
		"both late, one begun":                {task{due: due(2), late: true, begun: true}, task{due: due(1), late: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if order(x.first, x.second) >= 0 || order(x.second, x.first) <= 0 || order(x.first, x.first) != 0 {
				t.Error("the wrong item starts first")
			}
		})
	}
}

func TestPace(t *testing.T) {
	now := time.Now()
	for name, x := range map[string]struct {
		observed bool // An item of 100 events was completed in 5 s.
		events   int
		left     time.Duration // Time until the item is due.
		want     bool
	}{
		"before the first item": {left: time.Second},
		"in time":               {observed: true, left: 6 * time.Second},
		"too late to begin":     {observed: true, left: 5 * time.Second, want: true},
		"half of it is there":   {observed: true, events: 50, left: 4 * time.Second},
		"half of it, too late":  {observed: true, events: 50, left: 2500 * time.Millisecond, want: true},
		"longer than others":    {observed: true, events: 120, left: time.Second},
		"past its due time":     {observed: true, events: 120, left: -time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &pace{}
			if x.observed {
				p.observe(100, 100, 5*time.Second)
			}
			if got := p.late(x.events, now.Add(x.left), now); got != x.want {
				t.Errorf("late: %v", got)
			}
		})
	}
}

// TestBurst replays a burst of lots on slots that can complete 60 in 100 of them in time: most of what can be completed
// in time is, where the order of due times alone completes nearly all items late.
func TestBurst(t *testing.T) {
	const (
		slots    = 10
		events   = 100
		interval = 50 * time.Millisecond // A whole item takes 5 s.
		allowed  = 18 * time.Second      // Time from the submission of an item until it is due.
		crest    = 6 * time.Second       // Length of the square wave in which online requests take half of the slots.
	)
	for name, x := range map[string]struct {
		order   func(a, b task) int
		atLeast float64 // Share of the items that the slots can complete in time.
		atMost  float64
	}{
		"in their order":   {order: order, atLeast: 0.8, atMost: 1},
		"by due time only": {order: func(a, b task) int { return a.due.Compare(b.due) }, atMost: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			type job struct {
				due    time.Time
				events int
			}
			var waiting []*job
			p := &pace{}
			start := time.Now()
			served, inTime := 0.0, 0
			for tick := range int(60 * time.Second / interval) {
				now := start.Add(time.Duration(tick) * interval)
				if tick%6 == 0 { // 3.3 items a second; the slots do 1.5.
					waiting = append(waiting, &job{due: now.Add(allowed)})
				}
				n := slots
				if now.Sub(start)%crest < crest/2 {
					n = slots / 2
				}
				key := func(j *job) task {
					return task{due: j.due, late: p.late(j.events, j.due, now), begun: j.events > 0}
				}
				slices.SortStableFunc(waiting, func(a, b *job) int { return x.order(key(a), key(b)) })
				for _, j := range waiting[:min(n, len(waiting))] {
					served += 1.0 / events
					if j.events++; j.events == events {
						p.observe(events, events, events*interval)
						if !now.Add(listingTime).After(j.due) {
							inTime++
						}
					}
				}
				waiting = slices.DeleteFunc(waiting, func(j *job) bool { return j.events == events })
			}
			if got := float64(inTime) / served; got < x.atLeast || got > x.atMost {
				t.Errorf("%d of %.0f items are in time: %s", inTime, served, fmt.Sprintf("%.2f", got))
			}
		})
	}
}
