//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { scripts["stops"] = stops }

// stops: the platform stops an entry (SIGTERM), and its settings file changes (SIGHUP) while it finishes its requests.
func stops() (broken string) {
	f := newFleet()
	defer os.RemoveAll(f.dir)
	for i := range 3 {
		s := newServer(f.store, fmt.Sprint("i-", i), "s")
		s.events, s.gap = 29, 120*time.Millisecond // A stream takes 3.5 s of its 5 s.
	}
	f.manifest(askRoute+","+onceRoute+","+lotRoute, tenants)
	f.boot(2, 2)
	defer f.logs()
	var w sync.WaitGroup
	var m sync.Mutex
	lost, wrong := 0, 0
	for n := range 8 {
		w.Go(func() {
			id := fmt.Sprint("r", n)
			a := call(f.front[0], "POST", "/once/x", id, "key-one", map[string]string{"X-Deadline-Ms": "5000"}, []byte("prompt"))
			m.Lock()
			defer m.Unlock()
			switch {
			case a.err != nil:
				lost++
				broken = fmt.Sprintf("LOST: %d of 8 requests that were passed on to a server ended with their channel, without a complete answer", lost)
			case a.status == 200 && string(a.body) != streamed(id, 0, 29):
				wrong++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	note("SIGTERM to e0")
	check(f.entries[0].cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(time.Second)
	if trouble {
		note("SIGHUP to e0: its settings file has changed")
		b, err := os.ReadFile(f.dir + "/e0.json")
		check(err)
		check(os.WriteFile(f.dir+"/e0.json", append(b, '\n'), 0o644))
		check(f.entries[0].cmd.Process.Signal(syscall.SIGHUP))
	}
	w.Wait()
	if wrong > 0 {
		panic(errNotRun{"an answer is not what the server sent"})
	}
	return broken
}
