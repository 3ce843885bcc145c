//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { scripts["failures"] = failures }

// failures: an item fails at each run, and all processes on machines with a disk are killed at the same moment, and back at once,
// four times.
func failures() (broken string) {
	f := newFleet()
	defer os.RemoveAll(f.dir)
	const most = 3 * 3 // Three times maxAttempts.
	var m sync.Mutex
	failed, open := 0, 0
	var restarted time.Time
	for i := range 3 {
		s := newServer(f.store, fmt.Sprint("i-", i), "s")
		s.answer = func(s *server, w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("X-Attempt-Id") != itemID("lot1", 0) {
				return false
			}
			m.Lock()
			open++
			if failed >= most && time.Since(restarted) > stable+margin {
				broken = fmt.Sprintf("BUDGET: the item reaches a server again after %d answers of 500, %v after the last start of a process", failed, time.Since(restarted))
			}
			m.Unlock()
			time.Sleep(2 * time.Second)
			m.Lock()
			defer m.Unlock()
			open--
			if r.Context().Err() != nil {
				return true
			}
			failed++
			note("server %s: answer of 500 number %d to the item", s.id, failed)
			w.WriteHeader(500)
			return true
		}
	}
	f.manifest(askRoute+","+onceRoute+","+lotRoute, tenants)
	f.boot(1, 2)
	defer f.logs()
	f.submit("lot1", 2)
	kills, last := 0, 0
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		m.Lock()
		n, idle, b := failed, open == 0, broken
		m.Unlock()
		if b != "" {
			break
		}
		if trouble && kills < 4 && idle && n >= last+2 {
			last = n
			kills++
			time.Sleep(100 * time.Millisecond)
			note("kill number %d of all processes on machines with a disk", kills)
			for _, p := range f.data {
				_ = p.cmd.Process.Kill()
			}
			for _, p := range f.data {
				<-p.done
			}
			time.Sleep(300 * time.Millisecond)
			for _, p := range f.data {
				p.run()
			}
			m.Lock()
			restarted = time.Now()
			m.Unlock()
			note("they are back")
		}
		if p, _ := f.quietRead("lot1"); len(p.Results) == 2 {
			break // The item is listed.
		}
	}
	time.Sleep(time.Second)
	f.read(0, "lot1", 0, 0)
	m.Lock()
	defer m.Unlock()
	note("answers of 500: %d, kills: %d", failed, kills)
	return broken
}
