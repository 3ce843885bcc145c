package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memtxn"
)

const (
	smallestVM    = 184 << 20               // Memory of the smallest VM on which a process runs.
	floodTime     = 1500 * time.Millisecond // Time for which servers send bytes without end.
	floodRequests = 64                      // Responses without end at the same time.
	floodPart     = 64 << 10                // Bytes that a server sends at once, about.
	// floodPause is the time between two parts of a response: 800 MB/s in all, so that the processors are left to the processes.
	floodPause = 5 * time.Millisecond
)

// flood is a kind of response without end.
type flood struct {
	head string                // Head of the response, without the identifier of its request.
	part func(n uint64) string // Part n of what follows, from 1 on.
	lot  bool                  // It answers the items of a lot.
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	chunkHead  = plainHead + "Transfer-Encoding: chunked\r\n"
	eventHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	headersEnd = "\r\n"
)

// letters returns n bytes of text.
func letters(n int) string { return strings.Repeat("x", n) }

// manyEvents returns floodPart bytes of small events whose identifiers follow those of the parts before.
func manyEvents(n uint64) string {
	const size = 32
	count := uint64(floodPart / size)
	var b strings.Builder
	for i := (n-1)*count + 1; i <= n*count; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, letters(8))
	}
	return b.String()
}

func largeEvent(n uint64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, letters(floodPart)) }

// floods are the responses without end, by what has no end.
var floods = map[string]flood{
	"a body":                    {head: plainHead + headersEnd, part: func(uint64) string { return letters(floodPart) }},
	"a body in chunks":          {head: chunkHead + headersEnd, part: func(uint64) string { return fmt.Sprintf("%x\r\n%s\r\n", floodPart, letters(floodPart)) }},
	"a chunk's extension":       {head: chunkHead + headersEnd + "1;", part: func(uint64) string { return letters(floodPart) }},
	"a head":                    {head: plainHead, part: func(n uint64) string { return fmt.Sprintf("X-%d: %s\r\n", n, letters(1<<10)) }},
	"interim heads":             {head: "HTTP/1.1 103 Early Hints\r\n\r\n", part: func(uint64) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) }},
	"an event":                  {head: eventHead + headersEnd + "id: 1\ndata: ", part: func(uint64) string { return letters(floodPart) }},
	"comments":                  {head: eventHead + headersEnd, part: func(uint64) string { return ": " + letters(floodPart) + "\n\n" }},
	"events":                    {head: eventHead + headersEnd, part: manyEvents},
	"large events":              {head: eventHead + headersEnd, part: largeEvent},
	"a refusal":                 {head: "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n", part: func(uint64) string { return letters(floodPart) }},
	"a failure":                 {head: "HTTP/1.1 500 Failed\r\n\r\n", part: func(uint64) string { return letters(floodPart) }},
	"events of an item":         {head: eventHead + headersEnd, part: manyEvents, lot: true},
	"large events of an item":   {head: eventHead + headersEnd, part: largeEvent, lot: true},
	"an event of an item":       {head: eventHead + headersEnd + "id: 1\ndata: ", part: func(uint64) string { return letters(floodPart) }, lot: true},
	"comments of an item":       {head: eventHead + headersEnd, part: func(uint64) string { return ": " + letters(floodPart) + "\n\n" }, lot: true},
	"a failure of an item":      {head: "HTTP/1.1 500 Failed\r\n\r\n", part: func(uint64) string { return letters(floodPart) }, lot: true},
	"an item that can't be run": {head: "HTTP/1.1 422 Never\r\n\r\n", part: func(uint64) string { return letters(floodPart) }, lot: true},
}

// serve listens on a loopback address and answers each request by f until its connection is closed.
func (f flood) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				first, rest, _ := strings.Cut(f.head, "\r\n")
				if _, err = fmt.Fprintf(c, "%s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: flood\r\n%s", first, r.Header.Get("X-Attempt-Id"), rest); err != nil {
					return
				}
				after, _ := strconv.ParseUint(r.Header.Get("Last-Event-Id"), 10, 64)
				for n := after + 1; err == nil; n++ {
					time.Sleep(floodPause)
					_, err = io.WriteString(c, f.part(n))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// floodSystem is one entry and two data processes, two ordinary servers, and a stand-in for a server in trouble.
type floodSystem struct {
	t         *testing.T
	processes map[string]*childProcess
	front     string            // Address of the entry for callers.
	ready     string            // Address of its readiness probe.
	listen    map[string]string // Address for the other processes, by VM.
}

// standIn is what the third server of a floodSystem does.
type standIn interface {
	// serve listens on a loopback address, which it returns, until the test ends.
	serve(t *testing.T) string
}

// newFloodSystem starts a system with stand-in f whose entry has the settings more besides its own, and its data processes moreData; each of them
// begins with a comma.
func newFloodSystem(t *testing.T, binary string, f standIn, more, moreData string) *floodSystem {
	s := &floodSystem{t: t, processes: map[string]*childProcess{}, front: freeAddress(), ready: freeAddress(), listen: map[string]string{}}
	m := memtxn.New()
	store := serveHTTP(t, "127.0.0.1:0", &kvServer{store: m})
	put := func(key, v string) {
		if _, err := m.Commit(t.Context(), nil, []bulrushlug.Write{bulrushlug.PutWrite(key, []byte(v), 0)}); err != nil {
			t.Fatal(err)
		}
	}
	register := func(id, service, address string, slots int) {
		put("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z0","version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"callSeq":1,"born":1}`, service, address, slots))
	}
	for i := range 2 {
		b := &fakeBackend{id: fmt.Sprint("b", i), ran: map[string]int{}, tenants: map[string]string{}, eventCount: 5, eventInterval: 5 * time.Millisecond}
		register(b.id, "s", serveHTTP(t, "127.0.0.1:0", b), 64)
	}
	register("flood", "flood", f.serve(t), 4000)
	put("op/config", `{"version":1,"routes":[`+onlineRoutes+`,`+lotRoute+`,
{"name":"flood","host":"h.example","prefix":"/flood/","kind":"streaming","timeoutMs":20000,"service":"flood","maxAttempts":1},
{"name":"floods","host":"h.example","prefix":"/floods/","kind":"batch","timeoutMs":5000,"dueMs":18000,"retentionS":60,"service":"flood","maxAttempts":3}],
"services":[{"name":"s","maxConnections":100},{"name":"flood","maxConnections":4000}],"limits":{"maxBodyBytes":1000000},"tenants":[{"name":"o","apiKeys":["k1"]}]}`)
	folder := t.TempDir()
	for i, vm := range []string{"d0", "d1", "e0"} {
		p := &childProcess{settings: filepath.Join(folder, vm+".json"), log: filepath.Join(folder, vm+".log")}
		s.listen[vm] = freeAddress()
		b := fmt.Sprintf(`"vm":%q,"region":"r","zone":"z%d","listen":%q,"store":%q,"toleratedDisks":1,"graceSeconds":4`, vm, i, s.listen[vm], store)
		if vm == "e0" {
			b += fmt.Sprintf(`,"role":"entry","http":%q,"ready":%q%s`, s.front, s.ready, more)
		} else {
			b += fmt.Sprintf(`,"role":"data","dataFolder":%q%s`, filepath.Join(folder, vm), moreData)
		}
		if err := os.WriteFile(p.settings, []byte("{"+b+"}"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.start(binary, func() {}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			p.signal(9)
			p.waitStopped(0)
		})
		s.processes[vm] = p
	}
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if n, _ := s.call(t.Context(), "POST", "/ask/x", "ready", "body"); n == http.StatusOK {
			break
		}
		if time.Since(begun) > waitTimeout {
			t.Fatalf("the entry does not serve after %v", waitTimeout)
		}
	}
	return s
}

// call sends one request to the entry, and returns its status and body; zero if there is no whole response.
func (s *floodSystem) call(c context.Context, method, path, id, body string) (int, string) {
	r, err := http.NewRequestWithContext(c, method, "http://"+s.front+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", "k1")
	r.Header.Set("X-Deadline-Ms", "4000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, ""
	}
	return w.StatusCode, string(b)
}

// open sends n requests whose responses have no end, and reads none of them until c ends.
func (s *floodSystem) open(c context.Context, n int) {
	for i := range n {
		x, err := net.Dial("tcp", s.front)
		if err != nil {
			s.t.Error(err)
			return
		}
		context.AfterFunc(c, func() { _ = x.Close() })
		if _, err := fmt.Fprintf(x, "POST /flood/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: f%d\r\nX-Api-Key: k1\r\nContent-Length: 0\r\n\r\n", i); err != nil {
			s.t.Error(err)
		}
	}
}

// submit submits lots with n items in all whose responses have no end.
func (s *floodSystem) submit(c context.Context, n int) {
	const lotItems = 200
	for i := 0; n > 0; i++ {
		id := fmt.Sprint("lot", i)
		b := strings.ReplaceAll(lotBody(id, min(n, lotItems)), "/ask/", "/floods/")
		for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			if status, _ := s.call(c, "POST", "/floods/x", id, b); status == http.StatusAccepted {
				break
			}
			if time.Since(begun) > waitTimeout {
				s.t.Errorf("lot %s is not accepted", id)
				return
			}
		}
		n -= lotItems
	}
}

// peak returns the largest amount of memory that the process on VM vm has had, in bytes; zero if it has ended.
func (s *floodSystem) peak(vm string) int {
	p := s.processes[vm]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		s.t.Errorf("the process on %s has ended", vm)
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) == 3 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1])
			return n << 10
		}
	}
	return 0
}

// ordinary sends requests to the ordinary servers for d, and returns their latencies in order; each one is served.
func (s *floodSystem) ordinary(d time.Duration) (l []time.Duration) {
	var mu sync.Mutex
	var w sync.WaitGroup
	end := time.Now().Add(d)
	for k := range 4 {
		w.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				begun := time.Now()
				status, b := s.call(s.t.Context(), "POST", "/ask/x", fmt.Sprint("q", k, "-", n), "body")
				if x := time.Since(begun); status != http.StatusOK || strings.Count(b, "\n\n") != 5 {
					s.t.Errorf("an ordinary request got status %d after %v: %q", status, x, b)
				} else {
					mu.Lock()
					l = append(l, x)
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	w.Wait()
	slices.Sort(l)
	return l
}

// quantile returns the quantile q of the sorted values l.
func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return math.MaxInt64
	}
	return l[min(len(l)-1, int(q*float64(len(l))))].Round(100 * time.Microsecond)
}

// TestEndlessBytes guards against a process that keeps all that a faulty server sends, until its VM has no memory left and
// the requests of others end with it. FLOOD_REQUESTS sets how many responses without end there are at the same time.
func TestEndlessBytes(t *testing.T) {
	n := floodRequests
	if x, err := strconv.Atoi(os.Getenv("FLOOD_REQUESTS")); err == nil {
		n = x
	}
	binary := buildProgram(t)
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			s := newFloodSystem(t, binary, f, "", "")
			c, stop := context.WithCancel(t.Context())
			defer stop()
			vm := "e0"
			if f.lot {
				vm = "d0"
				s.submit(c, n)
			} else {
				s.open(c, n)
			}
			l := s.ordinary(floodTime)
			peak := s.peak(vm)
			if f.lot {
				peak = max(peak, s.peak("d1"))
			}
			t.Logf("%d responses: %d MB at most; %d ordinary requests, p50 %v, p99 %v, longest %v", n, peak>>20, len(l), quantile(l, 0.5), quantile(l, 0.99), quantile(l, 1))
			if peak > smallestVM {
				t.Errorf("a process had %d MB, a VM has %d MB", peak>>20, smallestVM>>20)
			}
		})
	}
}
