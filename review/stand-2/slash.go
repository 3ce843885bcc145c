//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
)

func init() { scripts["slash"] = slash }

// slash: the operator adds a route for a part of the paths of another one, and moves that part to another service. A request whose
// path does not begin with the new prefix, as one of its slashes is escaped, belongs to the old route.
func slash() (broken string) {
	f := newFleet()
	defer os.RemoveAll(f.dir)
	var m sync.Mutex
	ran := map[string]string{}
	for i := range 4 {
		s := newServer(f.store, fmt.Sprint("i-", i), []string{"s", "t"}[i/2])
		s.events = 3
		s.onRun = func(s *server, r *http.Request) {
			m.Lock()
			defer m.Unlock()
			ran[r.Header.Get("X-Attempt-Id")] = s.service
		}
	}
	f.manifest(askRoute+","+onceRoute+","+lotRoute, tenants)
	f.boot(1, 2)
	defer f.logs()
	ask := func(id, path string) string {
		call(f.front[0], "POST", path, id, "key-one", map[string]string{"X-Deadline-Ms": "5000"}, []byte("prompt"))
		m.Lock()
		defer m.Unlock()
		return ran[id]
	}
	if trouble {
		part := `{"name":"part","host":"h.example","prefix":"/ask/tower/","kind":"streaming","timeoutMs":5000,"service":"t","maxAttempts":2,"resumable":true}`
		f.manifest(askRoute+","+onceRoute+","+lotRoute+","+part, tenants)
		f.await("the new route is in force", 2e9, func() bool { return ask(fmt.Sprint("probe", len(ran)), "/ask/tower/x") == "t" })
	}
	for _, p := range []string{"/ask/tower", "/ask/towers/x", "/ask/tower%2Fx"} {
		if s := ask("r-"+p, p); s != "s" {
			broken = fmt.Sprintf("ROUTE: %s was run by service %q; its path begins with /ask/ and with no longer prefix", p, s)
		}
	}
	return broken
}
