package lots

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// unservedLog keeps the lines on lots for which no primary acts.
type unservedLog struct {
	mu    sync.Mutex
	lines []map[string]string
}

func (l *unservedLog) Log(x ...any) error {
	m := map[string]string{}
	for i := 0; i+1 < len(x); i += 2 {
		m[fmt.Sprint(x[i])] = fmt.Sprint(x[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m["event"] == "lotUnserved" {
		l.lines = append(l.lines, m)
	}
	return nil
}

// TestUnserved guards against a lot for which no primary acts and of which no process says so, and against a flood of lines.
func TestUnserved(t *testing.T) {
	const lots, watched = 120, 12 // Lots, and seconds after which the lines are read.
	for name, x := range map[string]struct {
		disturb     func(k *cluster, primary string)
		done        bool // The items are done.
		least, most int  // Lines.
	}{
		"the primary acts":             {},
		"the items are done":           {done: true, disturb: func(k *cluster, p string) { k.vms[p].stop() }},
		"another one takes over":       {disturb: func(k *cluster, p string) { k.kill(p) }},
		"it is alive and does not act": {disturb: func(k *cluster, p string) { k.vms[p].stop() }, least: maxUnservedLines, most: watched * maxUnservedLines},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				k, l := newCluster(t, c, 3, 2), &unservedLog{}
				for _, v := range k.vms {
					v.manager.logger = l
				}
				for i := range lots {
					id := fmt.Sprint("lot", i)
					k.mu.Lock()
					for n := range 2 {
						k.undone[fmt.Sprint(id, "/", n)] = !x.done
					}
					k.mu.Unlock()
					k.submit(id, 2)
				}
				time.Sleep(3 * time.Second)
				p := k.primary("lot0")
				if x.disturb != nil {
					x.disturb(k, p)
				}
				time.Sleep(watched * time.Second)
				l.mu.Lock()
				if n := len(l.lines); n < x.least || n > x.most {
					t.Errorf("%d lines", n)
				}
				omitted := 0
				for _, m := range l.lines {
					if m["omitted"] != "0" {
						omitted++
					}
					if m["vm"] != p || m["alive"] != "true" || m["items"] != "2" {
						t.Errorf("the primary was %s: %v", p, m)
					}
				}
				if x.most > 0 && omitted == 0 {
					t.Error("no line says that others were omitted")
				}
				l.mu.Unlock()
				stop()
				synctest.Wait()
			})
		})
	}
}
