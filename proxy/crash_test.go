package proxy

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/poison"
	"bulrushlug.dev/bulrushlug/slots"
)

const (
	crashSlots     = 8
	crashDowntime  = 3 * time.Second
	firstEventTime = 40 * time.Millisecond
	nextEventTime  = 30 * time.Millisecond
	streamEvents   = 12
	entryCount     = 5
	reportInterval = 100 * time.Millisecond
	announceTime   = 5 * time.Millisecond
	crashServers   = 12
	crashSeconds   = 30
	stableTime     = 3 * time.Second // Time after the fifth crash by which all entries know the part.
	crashSeeds     = 3
	crashLimit     = 5
	maxLater       = 3 // Requests with the part that may reach servers after that.
)

// machine is a backend server that ends as it begins to respond to a prompt with a deadly part.
type machine struct {
	backend bulrushlug.Backend
	crashed chan struct{} // Closed when the server ends; replaced when it starts again.
	down    bool
}

// crashFleet is a fake client of backend servers that can end.
type crashFleet struct {
	mu       sync.Mutex
	machines map[string]*machine
	deadly   uint64      // Hash of the part that ends servers; zero for none.
	crashes  []time.Time // Ends of servers by the part.
	reached  []time.Time // Requests with the part that reached a server.
}

func newCrashFleet(n int) *crashFleet {
	f := &crashFleet{machines: map[string]*machine{}}
	for i := range n {
		id := fmt.Sprint("server-", i)
		f.machines[id] = &machine{crashed: make(chan struct{}), backend: bulrushlug.NewBackend(id, "s", id+":1", bulrushlug.BackendZoneSlots("z", crashSlots))}
	}
	return f
}

// backends returns all servers; a server that ended stays on the list, as the list lags.
func (f *crashFleet) backends() (l []bulrushlug.Backend) {
	for _, m := range f.machines {
		l = append(l, m.backend)
	}
	return l
}

// end ends server id for crashDowntime.
func (f *crashFleet) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m.down {
		return
	}
	m.down = true
	close(m.crashed)
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		m.down, m.crashed = false, make(chan struct{})
	})
}

// isDown reports whether the server at address a refuses connections.
func (f *crashFleet) isDown(_ context.Context, a string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[strings.TrimSuffix(a, ":1")].down
}

func (f *crashFleet) Call(c context.Context, b bulrushlug.Backend, r *bulrushlug.Request) (bulrushlug.Reply, error) {
	f.mu.Lock()
	m := f.machines[b.ID()]
	if m.down {
		f.mu.Unlock()
		return nil, bulrushlug.Errorf(bulrushlug.KindUnplaceable, "%s: connection refused", b.ID())
	}
	deadly := false
	for _, p := range r.Prompt().Parts() {
		deadly = deadly || p == f.deadly && f.deadly != 0
	}
	if deadly {
		f.reached = append(f.reached, time.Now())
	}
	crashed := m.crashed
	f.mu.Unlock()
	in, out := io.Pipe()
	q := r.Clone() // The exchange goes on with r.
	go func() { _ = out.CloseWithError(f.respond(c, m, crashed, out, q, deadly)) }()
	return &pipeReply{PipeReader: in}, nil
}

// respond writes the events of one response until the server ends.
func (f *crashFleet) respond(c context.Context, m *machine, crashed chan struct{}, w io.Writer, r *bulrushlug.Request, deadly bool) error {
	for i := r.ResumeFrom() + 1; i <= streamEvents; i++ {
		d := nextEventTime
		if i == r.ResumeFrom()+1 {
			d = firstEventTime
		}
		select {
		case <-time.After(d):
		case <-crashed:
			return io.ErrUnexpectedEOF
		case <-c.Done():
			return c.Err()
		}
		if deadly {
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			f.end(m.backend.ID())
			return io.ErrUnexpectedEOF
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i); err != nil {
			return err
		}
	}
	return nil
}

type pipeReply struct{ *io.PipeReader }

func (p *pipeReply) Status() int { return statusOK }
func (p *pipeReply) Fields() []bulrushlug.Field {
	return []bulrushlug.Field{bulrushlug.NewField("Content-Type", eventStream)}
}
func (p *pipeReply) Framed() bool { return true }
func (p *pipeReply) Close()       { _ = p.PipeReader.Close() }

// crashEntry is one process that serves callers.
type crashEntry struct {
	stage    *Stage
	detector *poison.Detector
	deaf     bool // It hears no reports, and nobody hears its.
}

// crashEntries are the processes of a day, which report to each other.
type crashEntries struct {
	mu  sync.Mutex
	all []*crashEntry
}

func (l *crashEntries) start(f *crashFleet) *crashEntry {
	t := slots.New("e", func() []string { return nil })
	t.Update(f.backends())
	e := &crashEntry{}
	e.detector = poison.New(f.isDown, func() { time.AfterFunc(announceTime, func() { l.report(e) }) }, log.NewNopLogger(), new(expvar.Map).Init())
	e.stage = New(t, f, noRecorder{}, func([]string) {}, e.detector, memory.New(1<<30))
	return e
}

// get returns entry n.
func (l *crashEntries) get(n int) *crashEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[n]
}

// replace replaces entry n by a new process.
func (l *crashEntries) replace(n int, f *crashFleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[n] = l.start(f)
}

// report tells all others what e suspects.
func (l *crashEntries) report(e *crashEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.all {
		if x != e && !x.deaf && !e.deaf {
			x.detector.MergeServerEnds(e.detector.ServerEnds())
			x.detector.Merge(e.detector.Suspects())
		}
	}
}

// run sends the reports of all processes until c ends.
func (l *crashEntries) run(c context.Context) {
	for bulrushlug.Sleep(c, reportInterval) == nil {
		for n := range l.all {
			l.report(l.get(n))
		}
	}
}

// tally counts the sound requests of some seconds of a day.
type tally struct{ asked, begun int }

// soundRequest is a request without the part.
type soundRequest struct {
	at    time.Time
	begun bool // Its first attempt got a response.
}

func (t *tally) add(q soundRequest) {
	t.asked++
	if q.begun {
		t.begun++
	}
}

// crashDay is a day of requests, of which a share has a part of its prompt that ends servers.
type crashDay struct {
	share    float64 // Share of the requests with the part.
	perS     float64 // Requests a second.
	position int     // Position of the part among the shared parts.
	during   func(f *crashFleet, l *crashEntries, r *rand.Rand)
	sound    time.Duration // Time until which servers run requests with the part.
	later    int           // Requests with the part that may reach servers beyond maxLater.
}

// play plays the day, and returns the sound requests before the first crash and those from twice stableTime after the fifth
// one (the last, if there are fewer) on, with the number of deadly ones that reached servers later than stableTime after
// the fifth.
func (x crashDay) play(t *testing.T, seed uint64) (before, after tally, later int) {
	c, stop := context.WithCancel(t.Context())
	r := rand.New(rand.NewPCG(seed, seed))
	f := newCrashFleet(crashServers)
	time.AfterFunc(x.sound, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.deadly = bulrushlug.NewPrompt("r", "m", "deadly").Parts()[0]
	})
	entries := &crashEntries{}
	for range entryCount {
		entries.all = append(entries.all, entries.start(f))
	}
	go entries.run(c)
	route := bulrushlug.NewRoute("r", "/", true, nil, bulrushlug.RouteShares(bulrushlug.NewShare("s", 1)), bulrushlug.RouteTraffic(bulrushlug.TrafficStream, true, true),
		bulrushlug.RouteLimits(2, 0, 0))
	start := time.Now()
	if x.during != nil {
		go x.during(f, entries, rand.New(rand.NewPCG(seed, 1)))
	}
	var w sync.WaitGroup
	var mu sync.Mutex
	var sound []soundRequest
	for n := 0; time.Since(start) < crashSeconds*time.Second; n++ {
		time.Sleep(time.Duration(r.ExpFloat64() / x.perS * float64(time.Second)))
		parts := []string{fmt.Sprint("first-", r.IntN(3)), fmt.Sprint("subject-", r.IntN(20))}
		deadly := time.Since(start) > 4*time.Second && r.Float64() < x.share
		if deadly {
			parts = []string{"first-0", "subject-0"}
			parts = append(parts[:x.position:x.position], append([]string{"deadly"}, parts[x.position:]...)...)
		}
		parts = append(parts, fmt.Sprint("own-", n))
		e, other := entries.get(r.IntN(entryCount)), entries.get(r.IntN(entryCount))
		began := time.Now()
		w.Go(func() {
			q := func() *bulrushlug.Request {
				return bulrushlug.NewRequest(fmt.Sprint("q", n, time.Now().UnixNano()), bulrushlug.WithTarget(route), bulrushlug.WithPrompt(bulrushlug.NewPrompt("r", "m", parts...)),
					bulrushlug.WithDeadline(time.Now().Add(5*time.Second)))
			}
			k := &caller{}
			err := e.stage.Run(c, q(), k)
			if !deadly {
				mu.Lock()
				sound = append(sound, soundRequest{began, k.heads > 0})
				mu.Unlock()
			}
			if err != nil {
				_ = other.stage.Run(c, q(), &caller{})
			}
		})
	}
	w.Wait()
	stop()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.reached {
		if len(f.crashes) >= crashLimit && at.After(f.crashes[crashLimit-1].Add(stableTime)) {
			later++
		}
	}
	for _, q := range sound {
		switch n := min(crashLimit, len(f.crashes)); {
		case n == 0 || q.at.Before(f.crashes[0].Add(-time.Second)):
			before.add(q)
		case q.at.After(f.crashes[n-1].Add(2 * stableTime)):
			after.add(q)
		}
	}
	t.Logf("%d crashes, %d reached servers, %d of them later; sound requests begun before %d of %d, after %d of %d", len(f.crashes), len(f.reached), later, before.begun, before.asked, after.begun, after.asked)
	return before, after, later
}

// crashRack ends a sixth of the servers at once, every few seconds.
func crashRack(f *crashFleet, _ *crashEntries, r *rand.Rand) {
	for range 4 {
		time.Sleep(6 * time.Second)
		for i := range crashServers / 6 {
			f.end(fmt.Sprint("server-", (r.IntN(crashServers)+i)%crashServers))
		}
	}
}

// restartEntries replaces all entries but one, one after the other.
func restartEntries(f *crashFleet, l *crashEntries, _ *rand.Rand) {
	time.Sleep(12 * time.Second)
	for n := range entryCount - 1 {
		time.Sleep(time.Second)
		l.replace(n, f)
	}
}

// cutEntry cuts one entry off the others.
func cutEntry(_ *crashFleet, l *crashEntries, _ *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[0].deaf = true
}

// TestPromptEndsServersOneAfterAnother plays days on which requests share a part of their prompt that ends each server.
func TestPromptEndsServersOneAfterAnother(t *testing.T) {
	for name, x := range map[string]crashDay{
		"a part in one of twenty":          {share: 0.05, perS: 40, position: 2},
		"a part in one of three":           {share: 0.3, perS: 20, position: 2},
		"the first part":                   {share: 0.05, perS: 40},
		"a part in the middle":             {share: 0.05, perS: 40, position: 1},
		"rare, beside other crashes":       {share: 0.02, perS: 40, position: 2, during: crashRack},
		"other crashes only":               {perS: 40, during: crashRack},
		"one of twenty, and other crashes": {share: 0.05, perS: 40, position: 2, during: crashRack},
		"one of three, and other crashes":  {share: 0.3, perS: 20, position: 2, during: crashRack},
		"sound until second 10":            {share: 0.05, perS: 40, position: 2, sound: 10 * time.Second},
		"entries restart":                  {share: 0.05, perS: 40, position: 2, during: restartEntries},
		"an entry that hears nobody":       {share: 0.05, perS: 40, position: 2, during: cutEntry, later: 3},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(crashSeeds) {
				synctest.Test(t, func(t *testing.T) {
					before, after, later := x.play(t, seed)
					if later > maxLater+x.later {
						t.Errorf("seed %d: %d requests with the part reached servers later than %v after the fifth crash", seed, later, stableTime)
					}
					if after.asked > 0 && float64(after.begun)/float64(after.asked) < 0.9*float64(before.begun)/float64(before.asked) {
						t.Errorf("seed %d: %d of %d sound requests began, before the crashes %d of %d", seed, after.begun, after.asked, before.begun, before.asked)
					}
				})
			}
		})
	}
}
