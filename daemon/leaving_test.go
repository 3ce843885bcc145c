package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/setup"
)

// reached sends n concurrent requests to entry i and reports whether any of them reaches b.
func (s *testSystem) reached(b *fakeBackend, i, n int) bool {
	before := b.total()
	var w sync.WaitGroup
	for k := range n {
		w.Go(func() {
			if status, body := s.call(i, "POST", "/ask/x", fmt.Sprint("q", time.Now().UnixNano(), "-", k), "k1", ""); status != 200 {
				s.t.Errorf("status %d, body %q", status, body)
			}
		})
	}
	w.Wait()
	return b.total() > before
}

// warmUp has each entry complete a request at each server, so that all servers look alike to it.
func (s *testSystem) warmUp() {
	for _, b := range s.backends {
		s.register(b, "ready")
		for _, x := range s.backends {
			if x != b {
				s.register(x, "draining")
			}
		}
		for i := range s.entries {
			s.waitUntil("only "+b.id+" is ready", func() bool { return s.entries[i].daemon.slotTable.Available("s") == 1 && s.reached(b, i, 1) })
		}
	}
	for _, b := range s.backends {
		s.register(b, "ready")
	}
	for _, p := range s.entries {
		s.waitUntil("all are ready", func() bool { return p.daemon.slotTable.Available("s") == len(s.backends) })
	}
}

// TestRequestsReachLeavingServer guards against requests to a server that said in an answer that it is leaving, while
// the list of servers still shows it as ready.
func TestRequestsReachLeavingServer(t *testing.T) {
	for name, x := range map[string]struct {
		answer func(b *fakeBackend) // Sets what the server answers.
		outage bool                 // The key-value service is unreachable.
		reread bool                 // The list is written and read again; it shows the server as ready.
	}{
		"a complete answer":                  {answer: func(*fakeBackend) {}},
		"a refusal":                          {answer: func(b *fakeBackend) { b.refusals = 1 }},
		"a broken stream":                    {answer: func(b *fakeBackend) { b.breaks = 1 }},
		"an outage of the key-value service": {answer: func(*fakeBackend) {}, outage: true},
		"a list that is read again":          {answer: func(*fakeBackend) {}, reread: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 2, 1, 3)
			b := s.backends[0]
			s.warmUp()
			s.store.SetOutage(x.outage)
			b.set(func(b *fakeBackend) {
				b.leaving = true
				x.answer(b)
			})
			s.waitUntil("the server has answered", func() bool { return s.reached(b, 0, 8) })
			if x.reread {
				s.register(b, "ready")
				s.store.Compact()
				s.register(b, "ready")
				time.Sleep(time.Second) // Lets the watches start again.
			}
			if s.reached(b, 0, 8) {
				t.Error("a request of the entry that was told reached the server")
			}
			s.waitUntil("the other entry has heard", func() bool { return !s.reached(b, 1, 8) })
			if s.reached(b, 1, 8) {
				t.Error("a request of the other entry reached the server")
			}
		})
	}
}

// TestStandInKeepsConnection guards against a stand-in that closes a new connection, without having said so, before the
// request that an entry sends late.
func TestStandInKeepsConnection(t *testing.T) {
	for name, x := range map[string]struct{ wait time.Duration }{
		"a request at once":     {},
		"a request 1.5 s later": {wait: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &fakeBackend{id: "b0", ran: map[string]int{}, tenants: map[string]string{}}
			c, err := net.Dial("tcp", serveHTTP(t, "127.0.0.1:0", b))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			time.Sleep(x.wait)
			_, _ = io.WriteString(c, "GET /ask/x HTTP/1.1\r\nHost: h\r\n\r\n")
			w, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || w.StatusCode != http.StatusOK {
				t.Errorf("response %v, %v", w, err)
			}
		})
	}
}

// TestItemsReachLeavingServer guards against items at a server that said in an answer that it is leaving, and against
// avoiding the server that has its address later.
func TestItemsReachLeavingServer(t *testing.T) {
	s := newSystem(t, 1, 2, 2)
	b := s.backends[0]
	b.set(func(b *fakeBackend) { b.leaving = true })
	s.waitUntil("a lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot1", "k1", lotBody("lot1", 12)); return n == 202 })
	s.waitUntil("all results are listed", func() bool { return s.resultCount(0, "lot1") == 12 })
	if b.total() == 0 {
		t.Fatal("the server got no item")
	}
	for _, p := range s.data {
		s.waitUntil("the processes with disks know", func() bool {
			return p.daemon.leavingCounts.Get("serversTold") != nil || p.daemon.leavingCounts.Get("serversReported") != nil
		})
	}
	before := b.total()
	s.waitUntil("another lot is accepted", func() bool { n, _ := s.call(0, "POST", "/in/l", "lot2", "k1", lotBody("lot2", 12)); return n == 202 })
	s.waitUntil("all results are listed", func() bool { return s.resultCount(0, "lot2") == 12 })
	if n := b.total() - before; n > 0 {
		t.Errorf("%d items reached the server", n)
	}
	b.set(func(b *fakeBackend) { b.leaving = false })
	s.registerStart(b, "ready", 2)
	s.register(s.backends[1], "draining")
	s.waitUntil("its next start is used", func() bool { return s.reached(b, 0, 8) })
}

// TestDepartureLeavesNoTrace guards against departures that the log, the metrics or the reports to other processes do not
// show, and against a line for each response.
func TestDepartureLeavesNoTrace(t *testing.T) {
	b := bulrushlug.NewBackend("b0", "s", "10.0.0.1:80", bulrushlug.BackendStart(5, 1))
	told := func(d *Daemon) {
		d.ObserveDeparture(bulrushlug.NewDeparture(b, "q7", "response with status 503"))
	}
	report := func(n uint64, o ...bulrushlug.ReportOption) func(d *Daemon) {
		m := bulrushlug.NewMember("e9", "127.0.0.1:9", "r", "z", bulrushlug.RoleEntry)
		o = append(o, bulrushlug.ReportLeaving([]bulrushlug.Backend{b}))
		return func(d *Daemon) {
			d.handleMessage(bulrushlug.NewMessage(bulrushlug.MessageReport(bulrushlug.NewReport(m, 1, n, o...))))
		}
	}
	const (
		toldLine     = "event=serverLeaving server=b0 service=s address=10.0.0.1:80 request=q7 evidence=\"response with status 503\""
		reportedLine = "event=serverLeaving server=b0 service=s address=10.0.0.1:80 evidence=\"report of e9\""
	)
	for name, x := range map[string]struct {
		steps    []func(d *Daemon)
		lines    []string
		counts   string
		reported int // Leaving servers in the reports of this process.
	}{
		"none":                   {counts: `{}`},
		"told once":              {steps: []func(d *Daemon){told}, lines: []string{toldLine}, counts: `{"responses": 1, "serversTold": 1}`, reported: 1},
		"told twice":             {steps: []func(d *Daemon){told, told}, lines: []string{toldLine}, counts: `{"responses": 2, "serversTold": 1}`, reported: 1},
		"reported twice":         {steps: []func(d *Daemon){report(1), report(2)}, lines: []string{reportedLine}, counts: `{"serversReported": 1}`},
		"reported through relay": {steps: []func(d *Daemon){report(1, bulrushlug.ReportRelayed(true))}, lines: []string{reportedLine}, counts: `{"serversReported": 1}`},
		"reported, then told":    {steps: []func(d *Daemon){report(1), told}, lines: []string{reportedLine, toldLine}, counts: `{"responses": 1, "serversReported": 1, "serversTold": 1}`, reported: 1},
		"told, then reported":    {steps: []func(d *Daemon){told, report(1)}, lines: []string{toldLine}, counts: `{"responses": 1, "serversTold": 1}`, reported: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := setup.Parse("test", fmt.Appendf(nil, `{"vm":"e0","region":"r","zone":"z","role":"entry","listen":%q,"http":%q,"ready":%q,"store":"127.0.0.1:1","toleratedDisks":1,"graceSeconds":4}`, freeAddress(), freeAddress(), freeAddress()))
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			d, err := New(c, log.NewLogfmtLogger(&out))
			if err != nil {
				t.Fatal(err)
			}
			d.slotTable.Update([]bulrushlug.Backend{b})
			for _, f := range x.steps {
				f(d)
			}
			var lines []string
			for l := range strings.Lines(out.String()) {
				if strings.Contains(l, "event=serverLeaving") {
					lines = append(lines, strings.TrimPrefix(strings.TrimSpace(l), "vm=e0 "))
				}
			}
			if !slices.Equal(lines, x.lines) || d.leavingCounts.String() != x.counts {
				t.Errorf("lines %q, counts %v", lines, d.leavingCounts)
			}
			if r := bulrushlug.NewReport(bulrushlug.Member{}, 1, 1, d.buildReport()...); len(r.Leaving()) != x.reported {
				t.Errorf("the next report has %v", r.Leaving())
			}
		})
	}
}
