//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { scripts["partition"] = partition }

// partition: two entries of four are partitioned from the store, and the operator moves a route to another service. The other
// entries and both data processes reach the store all the time.
func partition() string {
	f := newFleet()
	f.entryName, f.dataName = "edge-", "vm-d"
	defer os.RemoveAll(f.dir)
	var m sync.Mutex
	service := map[string]string{}
	for i := range 6 {
		s := newServer(f.store, fmt.Sprint("i-", i), []string{"s", "t"}[i/3])
		s.events, s.gap = 2, 10*time.Millisecond
		s.onRun = func(s *server, r *http.Request) {
			m.Lock()
			defer m.Unlock()
			service[r.Header.Get("X-Attempt-Id")] = s.service
		}
	}
	cut := []string{"edge-2", "edge-3"} // They watch the store for all others.
	var proxies []*proxy
	for _, n := range cut {
		p := newProxy(f.store.address)
		proxies = append(proxies, p)
		f.via[n] = p.address
	}
	f.manifest(askRoute+","+lotRoute, tenants)
	f.boot(4, 2)
	defer f.logs()
	// Both have just renewed their leases.
	for end, most := time.Now().Add(15*time.Second), 100*time.Millisecond; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a, b := f.store.sinceRenewal("bulrushlug/vm/edge-2"), f.store.sinceRenewal("bulrushlug/vm/edge-3")
		if max(a, b) < most {
			break
		}
		if time.Until(end) < 10*time.Second {
			most = 550 * time.Millisecond
		}
	}
	note("since the renewal of edge-2's lease %v, of edge-3's %v", f.store.sinceRenewal("bulrushlug/vm/edge-2"), f.store.sinceRenewal("bulrushlug/vm/edge-3"))
	if trouble {
		for _, p := range proxies {
			p.partition()
		}
		note("edge-2 and edge-3 are partitioned from the store")
	}
	t := time.Now()
	time.Sleep(10 * time.Millisecond)
	moved := f.manifest(movedRoute+","+lotRoute, tenants)
	sent := map[string]time.Time{}
	var w sync.WaitGroup
	for n := 0; time.Since(t) < 5*time.Second; n++ {
		for e := range 2 {
			id := fmt.Sprintf("e%d-%d", e, n)
			sent[id] = time.Now()
			w.Go(func() {
				call(f.front[e], "POST", "/ask/x", id, "key-one", map[string]string{"X-Deadline-Ms": "5000"}, []byte("prompt"))
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.Wait()
	for _, p := range proxies {
		p.heal()
	}
	m.Lock()
	defer m.Unlock()
	late, last := 0, time.Duration(0)
	for id, t := range sent {
		if service[id] == "s" {
			last = max(last, t.Sub(moved))
			if t.Sub(moved) > configApply+margin {
				late++
			}
		}
	}
	note("edge-0 and edge-1 sent requests to the old service for %v after the confirmation", last)
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests were run by the old service, the last one sent %v after the new version was confirmed", late, last)
	}
	return ""
}
