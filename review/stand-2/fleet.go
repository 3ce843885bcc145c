//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	began   = time.Now()
	trouble = os.Getenv("TROUBLE") != "0"
	record  *os.File
	mu      sync.Mutex
	started []*process
)

// errNotRun ends a script that couldn't run.
type errNotRun struct{ text string }

// check ends the script as one that couldn't run if err is not nil.
func check(err error) {
	if err != nil {
		panic(errNotRun{err.Error()})
	}
}

// note writes a line to record.txt.
func note(f string, a ...any) {
	mu.Lock()
	defer mu.Unlock()
	fmt.Fprintf(record, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(f, a...))
}

// process is one process that the script started.
type process struct {
	name string
	cmd  *exec.Cmd
	args []string
	env  []string
	log  string
	done chan struct{}
}

// start starts a process with the given words and environment; its output goes to a file in dir.
func start(dir, name string, env []string, args ...string) *process {
	p := &process{name: name, args: args, env: env, log: filepath.Join(dir, name+".log")}
	p.run()
	mu.Lock()
	started = append(started, p)
	mu.Unlock()
	return p
}

func (p *process) run() {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	check(p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	c := p.cmd
	go func() {
		_ = c.Wait()
		_ = f.Close()
		close(done)
	}()
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// endAll ends all processes that were started.
func endAll() {
	mu.Lock()
	l := started
	mu.Unlock()
	for _, p := range l {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// fleet is a small deployment: entries, data processes, servers and the key-value service.
type fleet struct {
	dir     string
	store   *store
	entries []*process
	data    []*process
	front   []string // Addresses of the entries for callers.
	ready   []string
	via     map[string]string // Address of the store that a process is told, if not the store's own.
	version int

	entryName, dataName string // How the names of processes begin.
}

func newFleet() *fleet {
	d, err := os.MkdirTemp("", "review")
	check(err)
	return &fleet{dir: d, store: newStore(), via: map[string]string{}, entryName: "e", dataName: "d"}
}

// settings writes the settings file of a process, as deploy/settings.json has them for the installation of SYSTEM.md.
func (f *fleet) settings(name, zone, role string, first bool, more map[string]any) string {
	a := f.store.address
	if v, ok := f.via[name]; ok {
		a = v
	}
	m := map[string]any{"vm": name, "region": "r", "zone": zone, "role": role, "listen": freeAddress(), "metrics": freeAddress(), "store": a,
		"toleratedDisks": 1, "firstStart": first, "leaseMinMs": 1000, "graceSeconds": 8, "statusSeconds": 120, "rateWindowSeconds": 5,
		"rateOverrun": 0.1, "rateSlack": 20, "memoryMegabytes": 284, "maxDescriptors": 4200, "healthChecksPerSecond": 2, "placement": "even", "suspectSilence": true}
	for k, v := range more {
		m[k] = v
	}
	b, err := json.Marshal(m)
	check(err)
	p := filepath.Join(f.dir, name+".json")
	check(os.WriteFile(p, b, 0o644))
	return p
}

// restarted rewrites the settings of a process as they are after the first start of the system.
func restarted(p string) {
	b, err := os.ReadFile(p)
	check(err)
	check(os.WriteFile(p, []byte(strings.Replace(string(b), `"firstStart":true`, `"firstStart":false`, 1)), 0o644))
}

// boot starts n entries and m data processes and waits until the entries are ready. The manifest and servers have to be there.
func (f *fleet) boot(n, m int) {
	serve := func(name, path string) *process {
		return start(f.dir, name, []string{"BULRUSHLUG_BOOT=" + path}, "target/bulrushlug", "serve")
	}
	for i := range m {
		name := fmt.Sprint(f.dataName, i)
		d := filepath.Join(f.dir, "disk-"+name)
		check(os.MkdirAll(d, 0o755))
		p := f.settings(name, fmt.Sprint("z", i), "data", true, map[string]any{"dataFolder": d, "memoryMegabytes": 304, "maxDescriptors": 8200})
		f.data = append(f.data, serve(name, p))
		time.AfterFunc(2*time.Second, func() { restarted(p) })
	}
	for i := range n {
		name := fmt.Sprint(f.entryName, i)
		a, r := freeAddress(), freeAddress()
		f.front, f.ready = append(f.front, a), append(f.ready, r)
		p := f.settings(name, fmt.Sprint("z", i), "entry", true, map[string]any{"http": a, "ready": r})
		f.entries = append(f.entries, serve(name, p))
		time.AfterFunc(2*time.Second, func() { restarted(p) })
	}
	for i := range f.ready {
		f.await(fmt.Sprint("entry ", i, " is ready"), 30*time.Second, func() bool { return f.isReady(i) })
	}
	time.Sleep(4 * time.Second) // The processes hear each other; all of them are in touch.
}

func (f *fleet) isReady(i int) bool {
	w, err := http.Get("http://" + f.ready[i] + "/readyz")
	if err != nil {
		return false
	}
	w.Body.Close()
	return w.StatusCode == 200
}

func (f *fleet) await(what string, d time.Duration, g func() bool) {
	for t := time.Now(); time.Since(t) < d; time.Sleep(20 * time.Millisecond) {
		if g() {
			return
		}
	}
	panic(errNotRun{"not in time: " + what})
}

// logs puts what the processes wrote into record.txt.
func (f *fleet) logs() {
	for _, p := range slices.Concat(f.data, f.entries) {
		b, _ := os.ReadFile(p.log)
		note("log of %s:\n%s", p.name, b)
	}
}

// manifest writes the next version of the manifest with the given routes and tenants, and returns when the store confirmed it.
func (f *fleet) manifest(routes, tenants string) time.Time {
	f.version += 3
	f.store.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz","maxConnections":200},{"name":"t","healthPath":"/healthz","maxConnections":200}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000},"tenants":[%s]}`, f.version, routes, tenants))
	note("operator: version %d is confirmed", f.version)
	return time.Now()
}

// Bounds as SYSTEM.md has them, and what the checks allow beyond them.
const (
	stable      = 3 * time.Second // stableMs
	configApply = 2 * time.Second // configApplyMs
	margin      = 50 * time.Millisecond
)

// Routes as SYSTEM.md has them.
const (
	askRoute = `{"name":"ask","host":"h.example","prefix":"/ask/","kind":"streaming","timeoutMs":5000,"service":"s","maxAttempts":2,"priority":0,"resumable":true,"targetLatencyMs":300,"targetGapMs":300,"sessionAffinity":true}`
	// movedRoute is askRoute, moved to another service.
	movedRoute = `{"name":"ask","host":"h.example","prefix":"/ask/","kind":"streaming","timeoutMs":5000,"service":"t","maxAttempts":2,"priority":0,"resumable":true,"targetLatencyMs":300,"targetGapMs":300,"sessionAffinity":true}`
	onceRoute  = `{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":5000,"service":"s","maxAttempts":1,"priority":0,"targetLatencyMs":300,"targetGapMs":300,"sessionAffinity":true}`
	lotRoute   = `{"name":"lots","host":"h.example","prefix":"/in/","kind":"batch","timeoutMs":15000,"dueMs":18000,"retentionS":60,"service":"s","maxAttempts":3,"priority":2,"targetLatencyMs":400,"targetGapMs":300,"sessionAffinity":true}`
	tenants    = `{"name":"o","apiKeys":["key-one"]}`
)
