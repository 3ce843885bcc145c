//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the day. The bench draws new ones each day; here they stay.
const (
	host        = "guide.example"
	service     = "guide-llm"
	askPrefix   = "/ask/"
	oncePrefix  = "/once/"
	lotPrefix   = "/scripts/"
	apiKey      = "key-of-the-tenant"
	tenant      = "tower"
	heartbeatMs = 1200
)

// fleet is a small deployment: entries, processes with disks, runners and the platform's store, each on a loopback address of
// its own.
type fleet struct {
	folder, network string
	record          *record
	store           *store
	machines        []*machine
	runners         []*runnerProcess
	mu              sync.Mutex
	all             []*exec.Cmd
}

// machine is one machine of the system with its process.
type machine struct {
	name, ip, zone, role, class string
	data                        string // Folder of the disk; empty for none.
	bootstrap                   bool
}

func (m *machine) front() string { return m.ip + ":8689" }

func newFleet(folder string, r *record) (*fleet, error) {
	f := &fleet{folder: folder, record: r, store: newStore()}
	for n := 0; ; n++ {
		f.network = fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+n)%128, 1+(os.Getpid()/128+n)%250)
		l, err := net.Listen("tcp", f.network+"9:8688")
		if err == nil {
			go func() { _ = http.Serve(l, f.store) }()
			return f, nil
		}
		if n == 50 {
			return nil, err
		}
	}
}

func (f *fleet) storeAddress() string { return f.network + "9:8688" }

// track keeps c so that it is ended with the fleet.
func (f *fleet) track(c *exec.Cmd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, c)
}

// end ends all processes.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.all {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	for _, c := range f.all {
		_, _ = c.Process.Wait()
	}
}

// addMachines adds the machines of n entries and of d processes with disks, in zones by turns.
func (f *fleet) addMachines(n, d int) {
	for i := range n + d {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s%d", f.network, 20+i), role: "entry", class: "edge", zone: fmt.Sprintf("zone-%d", i%4+1), bootstrap: true}
		if i >= n {
			k := i - n
			m.name, m.role, m.class, m.zone = fmt.Sprintf("storage-%d", k+1), "data", "storage", fmt.Sprintf("zone-%d", k%4+1)
			m.data = filepath.Join(f.folder, m.name)
		}
		f.machines = append(f.machines, m)
	}
}

// fields are the fields of the platform's settings of m, as DEPLOY.md has them.
func (f *fleet) fields(m *machine) map[string]any {
	listen := map[string]any{"control": m.ip + ":8683"}
	if m.class == "edge" {
		listen["front"], listen["readiness"] = m.front(), m.ip+":8687"
	}
	x := map[string]any{
		"nodeName": m.name, "role": m.role, "machineClass": m.class, "ip": m.ip, "zone": m.zone, "region": "region",
		"listen": listen, "internalPorts": []any{7360, 7375}, "bootstrap": m.bootstrap, "heartbeatMs": heartbeatMs,
		"limits":         map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 304, "maxFds": 4200, "linkMbps": 1000, "diskMb": 410},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":         map[string]any{"graceS": 8, "statusTtlS": 120, "quotaWindowS": 5, "quotaOverrun": 0.1, "quotaSlack": 20},
		"platform":       map[string]any{"address": f.storeAddress(), "ttlMinMs": 1000},
	}
	if m.data != "" {
		x["dataDir"] = m.data
	}
	return x
}

var (
	section = regexp.MustCompile(`\{\{#([\w.]+)\}\}((?s:.*?))\{\{/([\w.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills the template t in from x, as the platform does.
func fill(t string, x map[string]any) string {
	find := func(p string) any {
		var v any = x
		for _, k := range strings.Split(p, ".") {
			switch w := v.(type) {
			case map[string]any:
				v = w[k]
			case []any:
				v = w[k[0]-'0']
			default:
				return nil
			}
		}
		return v
	}
	t = section.ReplaceAllStringFunc(t, func(s string) string {
		m := section.FindStringSubmatch(s)
		if find(m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return value.ReplaceAllStringFunc(t, func(s string) string {
		m := value.FindStringSubmatch(s)
		v := find(m[1])
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

// start starts the process of m with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	t, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	p := filepath.Join(f.folder, m.name+".json")
	if err := os.WriteFile(p, []byte(fill(string(t), f.fields(m))), 0o600); err != nil {
		return err
	}
	if m.data != "" {
		if err := os.MkdirAll(m.data, 0o700); err != nil {
			return err
		}
	}
	o, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer o.Close()
	c := exec.Command("target/bulrushlug", "serve")
	c.Env = append(os.Environ(), "BULRUSHLUG_BOOT="+p)
	c.Stdout, c.Stderr = o, o
	if err := c.Start(); err != nil {
		return err
	}
	f.track(c)
	m.bootstrap = false
	return nil
}

// startAll starts all machines and waits until the entries are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return f.awaitReady(30 * time.Second)
}

func (f *fleet) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range f.machines {
			if m.class == "edge" {
				ready = ready && isReady(m)
			}
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %v", d)
}

func isReady(m *machine) bool {
	k := http.Client{Timeout: 500 * time.Millisecond}
	w, err := k.Get("http://" + m.ip + ":8687/readyz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == 200
}

// writeManifest has the operator write the manifest.
func (f *fleet) writeManifest(version int) {
	route := func(name, prefix, kind string, resumable bool, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "service": service, "kind": kind, "resumable": resumable, "sessionAffinity": true,
			"maxAttempts": attempts, "timeoutMs": 5000, "targetLatencyMs": 300, "targetGapMs": 300, "priority": 0}
	}
	lots := route("tour-script", lotPrefix, "batch", true, 3)
	lots["timeoutMs"], lots["dueMs"], lots["retentionS"], lots["targetLatencyMs"], lots["priority"] = 15000, 18000, 60, 400, 2
	b, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("tower-hours", askPrefix, "streaming", true, 2), route("ticket-change", oncePrefix, "streaming", false, 1), lots},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []any{apiKey}, "ratePerS": 0, "burst": 0}},
	})
	f.store.write("op/config", string(b))
}

// runnerProcess is a runner as a process of its own.
type runnerProcess struct {
	id, address, zone string
	args              []string
	command           *exec.Cmd
	ended             chan bool // Closed when its output has ended.
}

// addRunner starts a runner and registers it.
func (f *fleet) addRunner(args ...string) (*runnerProcess, error) {
	n := len(f.runners)
	r := &runnerProcess{id: fmt.Sprintf("i-%04x", 0x7f00+n), address: fmt.Sprintf("%s%d:8090", f.network, 100+n), zone: fmt.Sprintf("zone-%d", n%4+1), args: args}
	f.runners = append(f.runners, r)
	return r, f.startRunner(r)
}

// startRunner starts the process of r, and registers it once it listens.
func (f *fleet) startRunner(r *runnerProcess) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(self, append([]string{"runner", "-id", r.id, "-address", r.address}, r.args...)...)
	o, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		return err
	}
	f.track(c)
	r.command, r.ended = c, make(chan bool)
	ended := r.ended
	lines := bufio.NewScanner(o)
	if !lines.Scan() {
		return fmt.Errorf("runner %s does not listen", r.id)
	}
	born := time.Now().UnixMilli()
	go func() {
		defer close(ended)
		for lines.Scan() {
			f.record.write("%s", lines.Text())
		}
	}()
	b, _ := json.Marshal(map[string]any{"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "callSeq": 0, "born": born})
	f.store.write("servers/"+r.id, string(b))
	return nil
}

// crash ends the processes of the given runners at once; their entries go after three heartbeats of silence.
func (f *fleet) crash(runners ...*runnerProcess) {
	for _, r := range runners {
		_ = r.command.Process.Kill()
	}
	for _, r := range runners {
		_, _ = r.command.Process.Wait()
		f.record.write("killed %s", r.id)
		e := f.store.get("servers/" + r.id)
		time.AfterFunc(3*heartbeatMs*time.Millisecond, func() {
			if f.store.get("servers/"+r.id) == e {
				f.store.erase("servers/" + r.id)
			}
		})
	}
}

// crashGroup ends the processes of group n of the runners, which take turns, and starts them again after d.
func (f *fleet) crashGroup(n, size int, d time.Duration) error {
	first := size * n % len(f.runners)
	group := f.runners[first : first+size]
	f.crash(group...)
	time.Sleep(d)
	for _, r := range group {
		if err := f.startRunner(r); err != nil {
			return err
		}
	}
	return nil
}
