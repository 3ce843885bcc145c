package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// line writes one line with the time since the start.
func (r *record) line(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(f, a...))
}

// process is one process of the system.
type process struct {
	name, role, zone, folder     string
	listen, front, ready, metric string
	settings                     string
	mu                           sync.Mutex
	command                      *exec.Cmd
	startedAt                    time.Time
}

// system is a small deployment with its stand-ins.
type system struct {
	folder  string
	record  *record
	trouble bool
	store   *kvStore
	address string // Of the store.
	entries []*process
	data    []*process
	runners []*runner
	status  float64 // The bound statusTtlS.
}

// freePorts returns n free loopback addresses, free for UDP as well.
func freePorts(n int) []string {
	var l []string
	var open []io.Closer
	for len(l) < n {
		t, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		open = append(open, t)
		u, err := net.ListenPacket("udp", t.Addr().String())
		if err != nil {
			continue
		}
		open = append(open, u)
		l = append(l, t.Addr().String())
	}
	for _, c := range open {
		_ = c.Close()
	}
	return l
}

// newSystem returns a deployment of two entries and three data processes in three zones, none of them started.
func newSystem(folder string, rec *record, trouble bool) *system {
	s := &system{folder: folder, record: rec, trouble: trouble, store: newStore(), status: 120}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.address = l.Addr().String()
	h := &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = h.Serve(l) }()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	p := freePorts(17)
	next := func() string { x := p[0]; p = p[1:]; return x }
	for i := range 2 {
		s.entries = append(s.entries, &process{name: "edge-" + zones[i] + "-1", role: "entry", zone: zones[i], listen: next(), front: next(), ready: next(), metric: next()})
	}
	for i := range 3 {
		n := "storage-" + zones[i] + "-1"
		s.data = append(s.data, &process{name: n, role: "data", zone: zones[i], listen: next(), metric: next(), folder: filepath.Join(folder, n)})
	}
	return s
}

// all returns all processes.
func (s *system) all() []*process {
	return append(append([]*process{}, s.entries...), s.data...)
}

// launch starts process p with settings filled in as deploy/settings.json has them.
func (s *system) launch(p *process, first bool) {
	v := map[string]any{"vm": p.name, "region": "region-1", "zone": p.zone, "role": p.role, "listen": p.listen, "metrics": p.metric,
		"store": s.address, "toleratedDisks": 1, "firstStart": first, "leaseMinMs": 1000, "graceSeconds": 8, "statusSeconds": s.status,
		"rateWindowSeconds": 5, "rateOverrun": 0.1, "rateSlack": 20}
	if p.role == "entry" {
		v["http"], v["ready"] = p.front, p.ready
	} else {
		v["dataFolder"] = p.folder
		if err := os.MkdirAll(p.folder, 0o750); err != nil {
			panic(err)
		}
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	p.settings = filepath.Join(s.folder, p.name+".json")
	if err := os.WriteFile(p.settings, b, 0o600); err != nil {
		panic(err)
	}
	out, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	c := exec.Command("target/bulrushlug", "serve")
	c.Env = append(os.Environ(), "BULRUSHLUG_BOOT="+p.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		panic(err)
	}
	_ = out.Close()
	p.mu.Lock()
	p.command, p.startedAt = c, time.Now()
	p.mu.Unlock()
	s.record.line("started %s (%s), pid %d", p.name, p.role, c.Process.Pid)
}

// kill ends process p with SIGKILL.
func (s *system) kill(p *process) {
	p.mu.Lock()
	c := p.command
	p.command = nil
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	_ = c.Wait()
	s.record.line("killed %s", p.name)
}

// stop ends all processes.
func (s *system) stop() {
	for _, p := range s.all() {
		s.kill(p)
	}
}

// start starts all processes and waits until the entries are ready.
func (s *system) start() bool {
	for _, p := range s.all() {
		s.launch(p, true)
	}
	for _, p := range s.entries {
		if !waitFor(10*time.Second, func() bool {
			w, err := http.Get("http://" + p.ready + "/readyz")
			if err != nil {
				return false
			}
			_ = w.Body.Close()
			return w.StatusCode == http.StatusOK
		}) {
			s.record.line("%s does not get ready", p.name)
			return false
		}
	}
	// The traffic starts 10 s after the machines on the sheets; half of it is enough here.
	time.Sleep(5 * time.Second)
	return true
}

// waitFor calls f until it is true or d is over.
func waitFor(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// route returns a route of the service for the manifest.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	m := map[string]any{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 400, "priority": 0,
		"service": service, "maxAttempts": 3, "allowAnonymous": false, "sessionAffinity": true, "resumable": kind != "idempotent"}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// batch holds the fields of a batch route.
func batch(retention float64) map[string]any {
	return map[string]any{"dueMs": 18000, "retentionS": retention, "timeoutMs": 15000, "priority": 2}
}

// configure writes a version of the manifest.
func (s *system) configure(version int, service string, routes ...map[string]any) {
	s.store.set("op/config", map[string]any{"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": runnerSlots, "kvCapacityTokens": 134354, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{apiKey}, "priority": 1, "ratePerS": 100, "burst": 100}}})
	s.record.line("manifest version %d confirmed, %d routes", version, len(routes))
}

const (
	apiKey  = "i9n73hh2b9wu3fexd9dn"
	host    = "lots.example"
	service = "reports-lm"
)

// item is an item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokenCount"`
}

// items returns n items of lot id on the route with the given prefix.
func items(id, prefix string, n, tokens int) (l []item) {
	for i := range n {
		x := id + "-" + strconv.Itoa(i)
		l = append(l, item{ID: x, Path: prefix + "item/" + strconv.Itoa(i), Body: []byte("body of " + x), Tokens: tokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("100,%d", tokens-100), "X-Prompt-Prefix": fmt.Sprintf("%x:100", 4096+i)}})
	}
	return l
}

// call makes one call at entry p on a channel of its own, and returns the status (zero without an answer) and the body.
func (s *system) call(p *process, method, path, id string, body []byte, wait time.Duration, more map[string]string) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+p.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Api-Key", apiKey)
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	for k, v := range more {
		r.Header.Set(k, v)
	}
	c := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, nil
	}
	return w.StatusCode, b
}

// submit sends a batch submission once to entry p and returns the status.
func (s *system) submit(p *process, prefix, id string, l []item) int {
	b, err := json.Marshal(map[string]any{"items": l})
	if err != nil {
		panic(err)
	}
	n, _ := s.call(p, http.MethodPost, prefix+id, id, b, 5500*time.Millisecond, map[string]string{"X-Deadline-Ms": "4000"})
	s.record.line("client: POST %s%s at %s, %d items: %d", prefix, id, p.name, len(l), n)
	return n
}

// result is one listed result.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"outputText"`
}

// page is what a read returns.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads a lot once at entry p from position n.
func (s *system) read(p *process, id string, n int) (int, page) {
	code, b := s.call(p, http.MethodGet, "/lots/"+id+"?after="+strconv.Itoa(n), "", nil, 2500*time.Millisecond, map[string]string{"X-Wait-Ms": "1000"})
	var x page
	if code == http.StatusOK {
		if err := json.Unmarshal(b, &x); err != nil {
			code = -1
		}
	}
	states := map[string]int{}
	for _, y := range x.Results {
		states[y.State]++
	}
	s.record.line("client: GET /lots/%s?after=%d at %s: %d total=%d next=%d %v", id, n, p.name, code, x.Total, x.Next, states)
	return code, x
}
