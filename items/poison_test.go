package items

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// fakeDetector holds back all items until release, and records what the runner tells it.
type fakeDetector struct {
	mu            sync.Mutex
	release       time.Time
	begun, broken int
	ended         int
}

func (d *fakeDetector) Check(bulrushlug.Prompt) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.release) {
		return bulrushlug.Errorf(bulrushlug.KindQuarantined, "part")
	}
	return nil
}

func (d *fakeDetector) RecordBegun(bulrushlug.Prompt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun++
}

func (d *fakeDetector) RecordBroken(context.Context, bulrushlug.Backend, bulrushlug.Prompt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken++
	return false
}

func (d *fakeDetector) RecordEnded(context.Context, bulrushlug.Backend) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended++
	return false
}

// TestItemOnWhichServersEnd has a detector that holds back the item for some time.
func TestItemOnWhichServersEnd(t *testing.T) {
	for name, x := range map[string]struct {
		held    time.Duration
		want    string // Result of the item.
		runs    int
		waiting bool // The item is held after a second.
	}{
		"not held":                      {want: whole(), runs: 1},
		"held for a while":              {held: 10 * time.Second, want: whole(), runs: 1, waiting: true},
		"held until its retention ends": {held: time.Hour, want: "given up", waiting: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystemWith(c, nil, &fakeDetector{release: time.Now().Add(x.held)})
				if err := s.submit(c, 1); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if n := s.runner.Held(); (n == 1) != x.waiting {
					t.Errorf("%d items are held", n)
				}
				time.Sleep(2 * time.Minute)
				if got := s.listed(t)["i0"]; got != x.want {
					t.Errorf("result %q", got)
				}
				s.server.mu.Lock()
				if n := s.server.runs["i0"]; n != x.runs {
					t.Errorf("%d runs", n)
				}
				s.server.mu.Unlock()
				if n := s.runner.Held(); n != 0 {
					t.Errorf("%d items are held at the end", n)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestEndsOfRunsAreEvidence checks which runs count for and against the prompt of an item.
func TestEndsOfRunsAreEvidence(t *testing.T) {
	for name, x := range map[string]struct {
		status        []int // Of each run; 0 breaks off after three events.
		begun, broken int
		ended         int
	}{
		"complete":                {begun: 2}, // Once as it begins, once as it ends.
		"breaks off after events": {status: []int{0}, begun: 3, ended: 1},
		"failed":                  {status: []int{500}, begun: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				d := &fakeDetector{}
				s := newSystemWith(c, map[string][]int{"i0": x.status}, d)
				if err := s.submit(c, 1); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Second)
				d.mu.Lock()
				if d.begun != x.begun || d.broken != x.broken || d.ended != x.ended {
					t.Errorf("begun %d, broken %d, ended %d", d.begun, d.broken, d.ended)
				}
				d.mu.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}
