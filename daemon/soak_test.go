package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtab"
)

const (
	soakEvents = 5
	soakItems  = 8
	soakTime   = 10 * time.Second // Time with faults.
	soakQuiet  = 9 * time.Second  // Time without faults before the end: copies are repaired within 4.5 s of the last start.
	diskTime   = 6 * time.Second  // Time after the loss of a disk in which no other is lost.
	eventPause = 20 * time.Millisecond
)

// soakSeeds are played in each run; those that ever failed stay here with their cause.
var soakSeeds = []uint64{1}

// program is one process of the system that is started from its binary.
type program struct {
	settings string // Path of the settings.
	folder   string // Data folder; empty for an entry.
	log      string
	store    *gate // The way to the key-value service.
	mu       sync.Mutex
	command  *exec.Cmd // Nil while the process is down.
}

// soak is one system of separate processes.
type soak struct {
	t        *testing.T
	binary   string
	judge    *judge
	programs []*program // Data processes first.
	entries  []string   // Addresses for callers.
	servers  []*gate
	random   *rand.Rand
	lost     time.Time // Last loss of a disk.
}

// server answers with events that name the request.
type server struct {
	id    string
	judge *judge
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.judge.ran(id)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", s.id+"-stamp")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= soakEvents; n++ {
		if bulrushlug.Sleep(r.Context(), eventPause) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// start starts p, if it is down.
func (s *soak) start(p *program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return
	}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	c := exec.Command(s.binary, "serve", "--settings", p.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		s.t.Error(err)
		return
	}
	p.command = c
	go func() {
		_ = c.Wait()
		_ = f.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.command == c {
			p.command = nil
		}
	}()
}

// signal sends x to p, if it is up.
func (p *program) signal(x syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(x)
	}
}

// down waits until p has ended, and kills it if it does not end by itself.
func (p *program) down(wait time.Duration) {
	for t := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		up := p.command != nil
		p.mu.Unlock()
		if !up {
			return
		}
		if time.Since(t) > wait {
			p.signal(syscall.SIGKILL)
		}
	}
}

// newSoak starts the system.
func newSoak(t *testing.T, binary string, seed uint64, folder string) *soak {
	s := &soak{t: t, binary: binary, judge: newJudge(), random: rand.New(rand.NewPCG(seed, 3)), lost: time.Now()}
	k := memtab.New()
	store := serveHTTP(t, "127.0.0.1:0", &service{table: k})
	put := func(key, v string) {
		if _, err := k.Commit(t.Context(), nil, []bulrushlug.Write{bulrushlug.PutWrite(key, []byte(v), 0)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		id := fmt.Sprint("b", i)
		g, a := newGate(t, serveHTTP(t, "127.0.0.1:0", &server{id: id, judge: s.judge}))
		s.servers = append(s.servers, g)
		put("servers/"+id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z0","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, a))
	}
	put("op/config", `{"version":1,"routes":[
{"name":"ask","host":"h.example","prefix":"/ask/","kind":"streaming","timeoutMs":4000,"service":"s","maxAttempts":3,"resumable":true},
{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming","timeoutMs":4000,"service":"s","maxAttempts":3},
{"name":"lots","host":"h.example","prefix":"/in/","kind":"batch","timeoutMs":5000,"dueMs":18000,"retentionS":600,"service":"s","maxAttempts":3}],
"services":[{"name":"s","maxConnections":100}],"limits":{"maxBodyBytes":1000000},"tenants":[{"name":"o","apiKeys":["k1"]}]}`)
	for i := range 5 {
		p := &program{settings: filepath.Join(folder, fmt.Sprint("p", i, ".json")), log: filepath.Join(folder, fmt.Sprint("p", i, ".log"))}
		var a string
		p.store, a = newGate(t, store)
		b := fmt.Sprintf(`"vm":"p%d","region":"r","zone":"z%d","listen":%q,"store":%q,"toleratedDisks":1,"graceSeconds":4`, i, i%3, free(), a)
		if i < 3 {
			p.folder = filepath.Join(folder, fmt.Sprint("disk", i))
			b += fmt.Sprintf(`,"role":"data","dataFolder":%q`, p.folder)
		} else {
			x := free()
			s.entries = append(s.entries, x)
			b += fmt.Sprintf(`,"role":"entry","http":%q,"ready":%q`, x, free())
		}
		if err := os.WriteFile(p.settings, []byte("{"+b+"}"), 0o600); err != nil {
			t.Fatal(err)
		}
		s.programs = append(s.programs, p)
		s.start(p)
	}
	return s
}

// call sends one request to a random entry; whole says that the answer did not break off.
func (s *soak) call(method, path, id, body string) (status int, b string, whole bool) {
	c, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	r, err := http.NewRequestWithContext(c, method, "http://"+s.entries[rand.IntN(len(s.entries))]+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0, "", false
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", "k1")
	r.Header.Set("X-Deadline-Ms", "4000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = w.Body.Close() }()
	x, err := io.ReadAll(w.Body)
	return w.StatusCode, string(x), err == nil
}

// ask sends questions until c ends.
func (s *soak) ask(c context.Context, n int) {
	for i := 0; bulrushlug.Sleep(c, 40*time.Millisecond) == nil; i++ {
		path := []string{"ask", "once"}[i%2]
		id := fmt.Sprint(path, "-", n, "-", i)
		status, b, whole := s.call("POST", "/"+path+"/x", id, "question")
		s.judge.answered(id, status, b, whole)
	}
}

// hand hands in lots until c ends, each until it is accepted.
func (s *soak) hand(c context.Context) {
	for i := 0; bulrushlug.Sleep(c, 250*time.Millisecond) == nil; i++ {
		id := fmt.Sprint("lot", i)
		for range 8 {
			if status, _, _ := s.call("POST", "/in/x", id, lot(id, soakItems)); status == 202 {
				s.judge.taken(id)
				break
			}
			_ = bulrushlug.Sleep(c, 200*time.Millisecond)
		}
	}
}

// results reads lot i from position n on.
func (s *soak) results(i string, n int) (int, []string) {
	status, b, whole := s.call("GET", fmt.Sprint("/lots/", i, "?after=", n), "read", "")
	if !whole {
		return 0, nil
	}
	var l []string
	for _, x := range gjson.Get(b, "results").Array() {
		l = append(l, x.Get("id").String()+": "+x.Get("outputText").String())
	}
	return status, l
}

// read reads accepted lots from any position until c ends.
func (s *soak) read(c context.Context) {
	for bulrushlug.Sleep(c, 30*time.Millisecond) == nil {
		s.judge.mu.Lock()
		var i string
		for i = range s.judge.accepted {
			break
		}
		n := rand.IntN(len(s.judge.seen[i]) + 1)
		s.judge.mu.Unlock()
		if i == "" {
			continue
		}
		t := time.Now()
		status, l := s.results(i, n)
		s.judge.read(i, n, t, status, l)
	}
}

// trouble plays faults for d, one series of them, in the order of the seed.
func (s *soak) trouble(d time.Duration) {
	var names []string
	for n := range soakFaults {
		names = append(names, n)
	}
	slices.Sort(names)
	for t := time.Now(); time.Since(t) < d; {
		n := names[s.random.IntN(len(names))]
		p := s.programs[s.random.IntN(len(s.programs))]
		x, k := time.Duration(200+s.random.IntN(2500))*time.Millisecond, s.random.IntN(16)
		s.t.Logf("%6.2f s %s %s for %v, %d", time.Since(t).Seconds(), n, filepath.Base(p.settings), x, k)
		soakFaults[n](s, p, x, k)
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
	}
}

// end stops all processes.
func (s *soak) end() {
	for _, p := range s.programs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.down(0)
	}
}

// playSoak plays one seed and returns the faults that the judge found.
func playSoak(t *testing.T, binary string, seed uint64, d time.Duration) []string {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	s := newSoak(t, binary, seed, folder)
	defer s.end()
	c, quiet := context.WithCancel(t.Context())
	var w sync.WaitGroup
	for n := range 3 {
		w.Go(func() { s.ask(c, n) })
	}
	w.Go(func() { s.hand(c) })
	w.Go(func() { s.read(c) })
	time.Sleep(3 * time.Second)
	s.trouble(d)
	time.Sleep(soakQuiet)
	quiet()
	w.Wait()
	l := map[string][]string{}
	for i := range s.judge.accepted {
		for t := time.Now(); time.Since(t) < waitTime; time.Sleep(200 * time.Millisecond) {
			if status, x := s.results(i, 0); status == 200 && len(x) >= soakItems {
				l[i] = x
				break
			}
		}
	}
	s.judge.end(l)
	t.Logf("seed %d: %d requests served, %d lots, logs in %s", seed, s.judge.served, len(s.judge.accepted), folder)
	if s.judge.served == 0 || len(s.judge.accepted) == 0 {
		return append(s.judge.faults, "nothing was served")
	}
	if len(s.judge.faults) == 0 {
		_ = os.RemoveAll(folder)
	}
	return s.judge.faults
}

// TestSoak plays faults on separate processes; SOAK_SEEDS is the number of seeds, SOAK_FIRST the first of them.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		first, _ := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64)
		seeds = nil
		for i := range n {
			seeds = append(seeds, first+uint64(i))
		}
	}
	binary := filepath.Join(t.TempDir(), "bulrushlug")
	if b, err := exec.Command("go", "build", "-o", binary, "../cmd/bulrushlug").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	for _, x := range seeds {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			if len(seeds) > len(soakSeeds) {
				t.Parallel()
			}
			for _, f := range playSoak(t, binary, x, soakTime) {
				t.Error(f)
			}
		})
	}
}
