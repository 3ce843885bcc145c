package items

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lots"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/memtxn"
	"bulrushlug.dev/bulrushlug/peers"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	eventCount    = 20 // Events of a complete run.
	eventInterval = 50 * time.Millisecond
)

// discardLog encodes all updates and discards them; these tests restart no process.
type discardLog struct{}

func (discardLog) Append(u bulrushlug.LotUpdate) error {
	_, err := proto.Marshal(codec.EncodeLotUpdate(u))
	return err
}
func (discardLog) Load(func(bulrushlug.LotUpdate)) error { return nil }
func (discardLog) Drop(string) error                     { return nil }

// routes is a configuration source.
type routes struct {
	mu     sync.Mutex
	config *bulrushlug.Config
}

func (r *routes) Config() *bulrushlug.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config
}
func (r *routes) Fresh() bool      { return true }
func (r *routes) Accepted() uint64 { return 1 }

// clear leaves no configuration.
func (r *routes) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = nil
}

func (r *routes) set(l ...bulrushlug.Change) { r.setRevision(1, l...) }

func (r *routes) setRevision(n uint64, l ...bulrushlug.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = bulrushlug.RestoreConfig(n, l)
}

// server is a fake client of all backend servers.
type server struct {
	mu     sync.Mutex
	status map[string][]int    // Status of each run of an item; 200 after the last entry; below 200 a fault of the stream.
	runs   map[string]int      // Runs of each item.
	resume map[string][]uint64 // Event after which each run of an item resumed.
	busy   int                 // Runs in progress.
	onCall func(b bulrushlug.Backend)

	endless atomic.Int64 // Bytes read of responses without end.
}

// Call starts a run that sends its events one by one.
func (v *server) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.onCall != nil {
		v.onCall(b)
	}
	s := 200
	if l := v.status[r.ID()]; v.runs[r.ID()] < len(l) {
		s = l[v.runs[r.ID()]]
	}
	v.runs[r.ID()]++
	v.resume[r.ID()] = append(v.resume[r.ID()], r.ResumeFrom())
	v.busy++
	p, w := io.Pipe()
	go func() {
		_ = w.CloseWithError(v.write(c, w, s, r.ResumeFrom()))
		v.mu.Lock()
		v.busy--
		v.mu.Unlock()
	}()
	t := "text/event-stream"
	if s == asText {
		t = "text/plain"
	}
	return &run{status: max(200, s%withoutEnd%brokenOff), contentType: t, PipeReader: p}, nil
}

// Faults of a response with another status, which are added to it.
const (
	brokenOff  = 1000 // Its body breaks off.
	withoutEnd = 2000 // Its body has no end.
)

// write writes the response of a run, and counts what the runner reads of one without end.
func (v *server) write(c context.Context, w io.Writer, status int, after uint64) (err error) {
	switch {
	case status > withoutEnd || status == eventsWithoutEnd || status == longEvents:
		for n := after + 1; err == nil; n++ {
			d := "x"
			if status != eventsWithoutEnd {
				d = strings.Repeat("x", 10000)
			}
			var i int
			i, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, d)
			v.endless.Add(int64(i))
		}
		return err
	case status > brokenOff:
		_, _ = io.WriteString(w, "it")
		return errors.New("connection reset")
	}
	return events(c, w, status, after)
}

// Faults of a stream with status 200.
const (
	breaksOff        = iota // After three events.
	noEvents                // The stream ends at once.
	halfEvent               // The stream ends cleanly within its fourth event.
	asText                  // An error's text with an empty line, and no events.
	fromStart               // The stream begins with event 1, whatever event it was to follow.
	losesEvent              // The stream has no second event.
	spoilsEvent             // A byte of the third event is not UTF-8.
	eventsWithoutEnd        // Events of a byte, as fast as they are read.
	longEvents              // Events of 10 KB likewise.
)

func events(c context.Context, w io.Writer, status int, after uint64) error {
	switch {
	case status > 200 || status == noEvents:
		return nil
	case status == asText:
		_, err := io.WriteString(w, "it failed\n\n")
		return err
	case status == fromStart:
		after = 0
	}
	for n := after + 1; n <= eventCount; n++ {
		switch {
		case status == breaksOff && n == after+4:
			return errors.New("connection reset")
		case status == halfEvent && n == after+4:
			_, err := fmt.Fprintf(w, "id: %d\nda", n)
			return err
		case status == losesEvent && n == after+2:
			continue
		}
		if err := bulrushlug.Sleep(c, eventInterval); err != nil {
			return err
		}
		d := strconv.FormatUint(n, 10)
		if status == spoilsEvent && n == after+3 {
			d = "\xff" + d[1:]
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, d); err != nil {
			return err
		}
	}
	return nil
}

type run struct {
	*io.PipeReader
	status      int
	contentType string
	unframed    bool
}

func (r *run) Status() int { return r.status }
func (r *run) Fields() []bulrushlug.Field {
	return []bulrushlug.Field{bulrushlug.NewField("Content-Type", r.contentType)}
}
func (r *run) Framed() bool { return !r.unframed }
func (r *run) Close()       { _ = r.PipeReader.Close() }

// noDetector suspects no prompt.
type noDetector struct{}

func (noDetector) Check(bulrushlug.Prompt) error { return nil }
func (noDetector) RecordBegun(bulrushlug.Prompt) {}
func (noDetector) RecordBroken(context.Context, bulrushlug.Backend, bulrushlug.Prompt) bool {
	return false
}
func (noDetector) RecordEnded(context.Context, bulrushlug.Backend) bool { return false }

// tokensField names a header field with the most tokens of a response.
const tokensField = "tokens"

// prompt returns a prompt without parts.
func prompt(_ string, l []bulrushlug.Field) bulrushlug.Prompt {
	n, _ := strconv.ParseUint(bulrushlug.FieldValue(l, tokensField), 10, 64)
	return bulrushlug.Prompt{}.WithMaxTokens(n)
}

// system is a replica manager with a runner and the servers that it uses.
type system struct {
	manager *lots.ReplicaManager
	table   *slots.Table
	runner  *Runner
	server  *server
	routes  *routes
	lines   *lineCount
	counts  *expvar.Map
}

// lineCount is a logger that counts its lines and keeps the last one on an item that was given up.
type lineCount struct {
	count   atomic.Int64
	givenUp atomic.Pointer[[]any]
}

func (l *lineCount) Log(x ...any) error {
	l.count.Add(1)
	if x[1] == "itemGivenUp" {
		l.givenUp.Store(&x)
	}
	return nil
}

func newSystem(c context.Context, status map[string][]int) *system {
	return newSystemWith(c, status, noDetector{})
}

func newSystemWith(c context.Context, status map[string][]int, d bulrushlug.PoisonDetector) *system {
	return newSystemOf(c, status, d, prompt)
}

// newSystemOf returns a system whose items have the prompts that p returns.
func newSystemOf(c context.Context, status map[string][]int, d bulrushlug.PoisonDetector, p func(string, []bulrushlug.Field) bulrushlug.Prompt) *system {
	s := &system{server: &server{status: status, runs: map[string]int{}, resume: map[string][]uint64{}}, routes: &routes{}}
	s.routes.set(bulrushlug.NewChange("1", "t", bulrushlug.NewRoute("r", "/", false, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)),
		bulrushlug.RouteTraffic(bulrushlug.TrafficLot, true, false), bulrushlug.RouteLimits(3, 2, 0), bulrushlug.RouteLots(18*time.Second, time.Minute))))
	m := memtxn.New()
	v := peers.New(bulrushlug.NewMember("d", "d", "r", "z", "data"), 1, "disk", m, "vm/", time.Second, log.NewNopLogger())
	s.table = slots.New("d", func() []string { return nil })
	s.table.Update([]bulrushlug.Backend{bulrushlug.NewBackend("b", "s", "h:1", bulrushlug.BackendZoneSlots("z", 4))})
	s.manager = lots.New(discardLog{}, nil, m, "lot/", v, log.NewNopLogger(), lots.WithReplicationFactor(1), lots.WithRetention(time.Hour), lots.WithWorkCallback(func() { s.runner.Wake() }))
	s.lines = &lineCount{}
	s.counts = new(expvar.Map).Init()
	s.runner = New(s.manager, s.table, s.server, s.routes, d, p, guard.New(s.lines), s.lines, s.counts, memory.New(1<<30))
	go func() { _ = s.manager.Run(c) }()
	go func() { _ = s.runner.Run(c) }()
	return s
}

func (s *system) submit(c context.Context, n int) error {
	var l []bulrushlug.LotItem
	for i := range n {
		l = append(l, bulrushlug.NewLotItem(fmt.Sprint("i", i), "/p", nil, nil))
	}
	return s.manager.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), l))
}

// ownField names a header field with the last part of the prompt of an item.
const ownField = "own"

// submitOwn submits a lot of n items, each with a last part of its own.
func (s *system) submitOwn(c context.Context, n int) error {
	var l []bulrushlug.LotItem
	for i := range n {
		l = append(l, bulrushlug.NewLotItem(fmt.Sprint("i", i), "/p", []bulrushlug.Field{bulrushlug.NewField(ownField, fmt.Sprint("own-", i))}, nil))
	}
	return s.manager.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), l))
}

// listed returns the results of the lot by item.
func (s *system) listed(t *testing.T) map[string]string {
	t.Helper()
	p, err := s.manager.Read(t.Context(), bulrushlug.NewLotQuery("lot", "o"))
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]string{}
	for _, r := range p.Results() {
		if m[r.ID()] = "given up"; r.Completed() {
			m[r.ID()] = r.Text()
		}
	}
	return m
}

func whole() string {
	var l []string
	for n := range eventCount {
		l = append(l, fmt.Sprint(n+1))
	}
	return strings.Join(l, "\n")
}

// play submits a lot of one item to a new system and calls during, unless that is nil; stop ends the system.
func play(t *testing.T, status map[string][]int, during func(s *system)) (s *system, stop func()) {
	t.Helper()
	c, cancel := context.WithCancel(t.Context())
	s = newSystem(c, status)
	if err := s.submit(c, 1); err != nil {
		t.Fatal(err)
	}
	if during != nil {
		during(s)
	}
	return s, func() {
		cancel()
		synctest.Wait()
	}
}

func TestItems(t *testing.T) {
	for name, x := range map[string]struct {
		status map[string][]int
		during func(s *system) // Called after the submission of the lot.
		want   string          // Result of item i0; empty for none.
		runs   int             // Expected runs of item i0; zero for any number.
		resume uint64          // Event after which the last run resumed.
	}{
		"done at once":                 {want: whole(), runs: 1},
		"breaks off":                   {status: map[string][]int{"i0": {0, 0}}, want: whole(), runs: 3, resume: 6},
		"ends within an event":         {status: map[string][]int{"i0": {halfEvent, halfEvent}}, want: whole(), runs: 3, resume: 6},
		"no events":                    {status: map[string][]int{"i0": {noEvents, noEvents}}, want: whole(), runs: 3},
		"an error's text":              {status: map[string][]int{"i0": {asText}}, want: whole(), runs: 2},
		"resumed as an error's text":   {status: map[string][]int{"i0": {breaksOff, asText}}, want: whole(), runs: 3, resume: 3},
		"resumed as a failure":         {status: map[string][]int{"i0": {breaksOff, 500}}, want: whole(), runs: 3, resume: 3},
		"resumed as not found":         {status: map[string][]int{"i0": {breaksOff, 404}}, want: whole(), runs: 3, resume: 3},
		"resumed from the start":       {status: map[string][]int{"i0": {breaksOff, fromStart}}, want: whole(), runs: 3, resume: 3},
		"an event is not UTF-8":        {status: map[string][]int{"i0": {spoilsEvent, spoilsEvent}}, want: whole(), runs: 3, resume: 4},
		"an event is lost":             {status: map[string][]int{"i0": {losesEvent}}, want: whole(), runs: 2, resume: 1},
		"fails twice":                  {status: map[string][]int{"i0": {500, 500}}, want: whole(), runs: 3},
		"always fails":                 {status: map[string][]int{"i0": {500, 500, 500, 500, 500}}, want: "given up", runs: 3},
		"rejected":                     {status: map[string][]int{"i0": {422}}, want: "given up", runs: 1},
		"server full a few times":      {status: map[string][]int{"i0": {503, 503, 503, 503}}, want: whole(), runs: 5},
		"preempted":                    {during: func(s *system) { time.Sleep(280 * time.Millisecond); s.runner.Preempt("b", 4) }, want: whole(), runs: 2, resume: 5},
		"preemption at another server": {during: func(s *system) { time.Sleep(300 * time.Millisecond); s.runner.Preempt("c", 4) }, want: whole(), runs: 1},
		"route removed":                {during: func(s *system) { time.Sleep(300 * time.Millisecond); s.routes.set() }, want: "given up"},
		"retention ended":              {status: map[string][]int{"i0": repeat(503, 100)}, during: func(*system) { time.Sleep(2 * time.Minute) }, want: "given up"},
		"lot ended": {during: func(s *system) {
			time.Sleep(300 * time.Millisecond)
			_ = s.manager.End(context.Background(), bulrushlug.NewLotQuery("lot", "o"))
		}, runs: 1},
		"burst of online requests": {during: func(s *system) {
			time.Sleep(280 * time.Millisecond)
			s.burst()
			s.runner.PreemptExcess()
			time.Sleep(time.Second)
			s.table.UpdateRemote("e", nil)
		}, want: whole(), runs: 2, resume: 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := play(t, x.status, x.during)
				time.Sleep(20 * time.Second)
				if got := s.listed(t)["i0"]; got != x.want {
					t.Errorf("result of i0 is %q", got)
				}
				s.server.mu.Lock()
				if l := s.server.resume["i0"]; x.runs > 0 && len(l) != x.runs || x.resume > 0 && l[len(l)-1] != x.resume {
					t.Errorf("runs resumed after %v", l)
				}
				if s.server.busy > 0 {
					t.Errorf("%d runs are in progress", s.server.busy)
				}
				s.server.mu.Unlock()
				if n := len(s.table.Usages()); n != 0 {
					t.Errorf("%d servers still have items", n)
				}
				stop()
			})
		})
	}
}

// TestResultBetweenLookups has a run end after the item was listed as one without a result.
func TestResultBetweenLookups(t *testing.T) {
	for name, x := range map[string]struct {
		status map[string][]int // Status of each run of an item.
		after  time.Duration    // Time from the submission at which the first run has ended.
		want   bool             // The item may be started.
	}{
		"the run completes":  {after: (eventCount + 1) * eventInterval},
		"the run is refused": {status: map[string][]int{"i0": {422}}, after: eventInterval},
		"the run breaks off": {status: map[string][]int{"i0": {0}}, after: 4 * eventInterval, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := play(t, x.status, nil)
				time.Sleep(x.after)
				synctest.Wait()
				if got := s.runner.startable(key{"lot", 0}, time.Now().Add(maxBackoff)); got != x.want {
					t.Errorf("the item may be started: %v", got)
				}
				stop()
			})
		})
	}
}

// TestEndings checks that each run that ends without a result is counted by its cause and leaves a line.
func TestEndings(t *testing.T) {
	for name, x := range map[string]struct {
		status map[string][]int
		during func(s *system)
		cause  string
		want   string
		lines  int64
	}{
		"broken":    {status: map[string][]int{"i0": {0, 0}}, cause: "broken", want: "2", lines: 2},
		"failed":    {status: map[string][]int{"i0": {500}}, cause: "status500", want: "1", lines: 1},
		"preempted": {during: func(s *system) { time.Sleep(280 * time.Millisecond); s.runner.Preempt("b", 4) }, cause: "preempted", want: "1", lines: 1},
		"ended": {cause: "stopped", want: "1", lines: 1, during: func(s *system) {
			time.Sleep(300 * time.Millisecond)
			_ = s.manager.End(context.Background(), bulrushlug.NewLotQuery("lot", "o"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := play(t, x.status, x.during)
				time.Sleep(10 * time.Second)
				if v := s.counts.Get(x.cause); v == nil || v.String() != x.want || s.lines.count.Load() != x.lines {
					t.Errorf("counted %v, %d lines", s.counts, s.lines.count.Load())
				}
				stop()
			})
		})
	}
}

// TestMaxLines ends more runs in a second than have lines.
func TestMaxLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lineCount{}
		e := newEndings(new(expvar.Map).Init(), l)
		for range 3 * maxLines {
			e.record("broken")
		}
		time.Sleep(time.Second)
		if n, ok := e.limiter.Take(); !ok || n != 2*maxLines || l.count.Load() != maxLines || e.counts.Get("broken").String() != "60" {
			t.Errorf("%d omitted, %d lines, %v counted", n, l.count.Load(), e.counts)
		}
	})
}

func repeat(n, times int) (l []int) {
	for range times {
		l = append(l, n)
	}
	return l
}

// burst fills the server with online requests of an entry.
func (s *system) burst() {
	s.table.UpdateRemote("e", []bulrushlug.Usage{bulrushlug.NewUsage("b", 4, 0)})
}

func TestItemsUseIdleSlotsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := context.WithCancel(t.Context())
		s := newSystem(c, nil)
		s.table.UpdateRemote("e", []bulrushlug.Usage{bulrushlug.NewUsage("b", 1, 0)})
		if err := s.submit(c, 12); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		s.server.mu.Lock()
		if s.server.busy != 2 {
			t.Errorf("%d items run next to one request at 4 slots, one of which is in reserve", s.server.busy)
		}
		s.server.mu.Unlock()
		time.Sleep(20 * time.Second)
		if n := len(s.listed(t)); n != 12 {
			t.Errorf("%d items are listed", n)
		}
		stop()
		synctest.Wait()
	})
}
