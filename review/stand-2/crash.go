//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { scripts["crash"] = crash }

// crash: servers answer without a length, and one of them crashes while it runs items.
func crash() (broken string) {
	f := newFleet()
	defer os.RemoveAll(f.dir)
	const items, events, gap = 16, 60, 30
	exe, err := os.Executable()
	check(err)
	var l []*process
	for i := range 4 {
		id, a := fmt.Sprint("i-", i), freeAddress()
		l = append(l, start(f.dir, id, nil, exe, "runner", id, a, fmt.Sprint(events), fmt.Sprint(gap), "unframed"))
		f.store.put("servers/"+id, registration("s", a, "ready"))
	}
	f.manifest(askRoute+","+onceRoute+","+lotRoute, tenants)
	f.boot(1, 2)
	defer f.logs()
	t := f.submit("lot1", items)
	time.Sleep(time.Until(t.Add(900 * time.Millisecond)))
	if trouble {
		for i, r := range l {
			if b, _ := os.ReadFile(r.log); len(b) > 0 {
				note("server i-%d crashes (SIGKILL)", i)
				r.kill()
				time.AfterFunc(3600*time.Millisecond, func() { f.store.drop(fmt.Sprint("servers/i-", i)) }) // Three intervals without a sign of life.
				break
			}
		}
	}
	short := 0
	f.await("all results", 40*time.Second, func() bool {
		p, _ := f.read(0, "lot1", 0, 1000)
		if len(p.Results) < items {
			time.Sleep(500 * time.Millisecond)
			return false
		}
		for _, r := range p.Results {
			n := strings.Count(r.OutputText, "\n") + 1
			note("result: %s is %s with %d of %d events", r.ID, r.State, n, events)
			if r.State == "completed" && r.OutputText != whole(r.ID, events) {
				short++
				broken = fmt.Sprintf("MIXED: %d results are completed, and are not the whole output of their items", short)
			}
		}
		return true
	})
	for _, r := range l {
		b, _ := os.ReadFile(r.log)
		note("runs of %s:\n%s", r.name, b)
	}
	return broken
}
