package warm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	entries     = 24
	dataVMs     = 13
	serverCount = 52
	perSecond   = 450 // Requests of callers at a crest; items come on top.
	bound       = 16
	coldTime    = 3 * time.Second
	checkTicks  = 50 // Ticks of 10 ms between two health checks of a server.
)

// instance is a server as it is, which the processes learn late.
type instance struct {
	backend   bulrushlug.Backend
	coldUntil time.Time
	down      bool
	arrivals  []time.Time // While it was cold.
	running   int
	run       int // Increases with each start.
}

type process struct {
	gate  *Gate
	cut   bool             // It learns nothing.
	loads [serverCount]int // Requests at each server by the last reports, and what it has sent since.
}

// fleet is 37 processes that send to 52 servers in 4 zones, each to the least loaded one, as far as it knows, that its gate
// admits.
type fleet struct {
	mu        sync.Mutex // Guards all that follows while timers run.
	t         *testing.T
	random    *rand.Rand
	processes []*process
	instances []*instance
	revision  uint64
	joined    int  // Processes that know of the entry that joined, the last process.
	refused   int  // Requests that found no server.
	checked   bool // The processes ask servers for their health.
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2))}
	for i := range serverCount {
		f.instances = append(f.instances, &instance{backend: f.backend(i, 1, 0)})
	}
	for i := range entries + dataVMs {
		f.processes = append(f.processes, &process{})
		f.start(i)
	}
	f.run(3 * time.Second)
	return f
}

func (f *fleet) backend(i int, start uint64, cold time.Duration) bulrushlug.Backend {
	f.revision++
	return bulrushlug.NewBackend(fmt.Sprint("s", i), "s", "h:1", bulrushlug.BackendZoneSlots(fmt.Sprint("z", i%4), 8),
		bulrushlug.BackendStart(start, f.revision), bulrushlug.BackendColdTime(cold))
}

// start starts process i, which reads the list at once.
func (f *fleet) start(i int) {
	batch := i >= entries && i < entries+dataVMs
	g := New(fmt.Sprint("p", i), batch, bulrushlug.NewWarmup(1.5, 5), func() (l []string, version uint64) {
		from, n := 0, entries
		if batch {
			from, n = entries, dataVMs
		}
		for k := range n {
			l = append(l, fmt.Sprint("p", from+k))
		}
		if i < f.joined || i == entries+dataVMs {
			l = append(l, fmt.Sprint("p", entries+dataVMs))
		}
		return l, uint64(len(l))
	})
	g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 7.6, coldTime)})
	f.processes[i].gate = g
	f.list(i)
}

// list gives process i the list of servers.
func (f *fleet) list(i int) {
	var l []bulrushlug.Backend
	for _, x := range f.instances {
		l = append(l, x.backend)
	}
	f.processes[i].gate.Update(l)
}

// tell has each process that is not cut off do g after up to 400 ms.
func (f *fleet) tell(g func(i int, p *process)) {
	for i, p := range f.processes {
		time.AfterFunc(time.Duration(f.random.IntN(400))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !p.cut {
				g(i, p)
			}
		})
	}
}

// chill lets servers be cold from now on: they start again if restart is set, and say so after d.
func (f *fleet) chill(from, n, step int, restart bool, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := from; i < serverCount && n > 0; i, n = i+step, n-1 {
		x := f.instances[i]
		x.down, x.coldUntil, x.arrivals = false, time.Now().Add(coldTime), nil
		if restart {
			x.running, x.run = 0, x.run+1
		}
		time.AfterFunc(d, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			start := x.backend.StartTime()
			if restart {
				start++
			}
			x.backend = f.backend(i, start, coldTime-d)
			f.tell(func(i int, _ *process) { f.list(i) })
		})
	}
}

func (f *fleet) stop(from, step int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := from; i < serverCount; i += step {
		f.instances[i].down = true
	}
}

// check has server i asked for its health by a process, which tells the others what it says.
func (f *fleet) check(i int) {
	x, p := f.instances[i], f.processes[7*i%(entries+dataVMs)]
	left := time.Until(x.coldUntil)
	if p.cut || x.down || left <= 0 || !slices.ContainsFunc(p.gate.Warm(), func(b bulrushlug.Backend) bool { return b.ID() == x.backend.ID() }) {
		return
	}
	if p.gate.RecordCold(x.backend, left) {
		f.tell(func(_ int, q *process) { q.gate.ColdReported(p.gate.Told()) })
	}
}

// run has the processes send for d.
func (f *fleet) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for n := range d / tick {
		f.mu.Lock()
		for i, p := range f.processes {
			if (int(n)+7*i)%20 == 0 {
				for k, x := range f.instances {
					p.loads[k] = x.running
				}
			}
			if batch := i >= entries && i < entries+dataVMs; f.random.Float64() < perSecond/entries*tick.Seconds() && (!batch || f.random.IntN(10) == 0) {
				f.send(p)
			}
		}
		for i := range f.instances {
			if f.checked && (int(n)+11*i)%checkTicks == 0 {
				f.check(i)
			}
		}
		f.mu.Unlock()
		time.Sleep(tick)
	}
}

func (f *fleet) send(p *process) {
	now, best, least := time.Now(), -1, 0.0
	for i, x := range f.instances {
		if n := float64(p.loads[i]) + 2*f.random.Float64(); p.loads[i] < 10 && (best < 0 || n < least) && p.gate.Open(x.backend, now) {
			best, least = i, n
		}
	}
	if best < 0 || !p.gate.Admit(f.instances[best].backend, now) {
		f.refused++
		return
	}
	p.loads[best]++
	x := f.instances[best]
	switch {
	case x.down:
		p.gate.Suspect(x.backend)
		vm := p.gate.self
		f.tell(func(_ int, q *process) { q.gate.SuspectReported(vm, []string{x.backend.ID()}) })
		return
	case now.Before(x.coldUntil):
		x.arrivals = append(x.arrivals, now)
	}
	x.running++
	run := x.run
	time.AfterFunc(700*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if x.run == run {
			x.running--
		}
	})
}

// most returns the most requests that a server got in any second after t in which it was cold.
func (x *instance) most(t time.Time) (n int) {
	l := slices.DeleteFunc(slices.Clone(x.arrivals), func(a time.Time) bool { return a.Before(t) })
	for i, from := 0, 0; i < len(l); i++ {
		for l[i].Sub(l[from]) >= time.Second {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// TestColdServers replays the loads in which servers are idle and cold as a crest is there, and compares what all
// processes together send with the exact bound in sliding seconds.
func TestColdServers(t *testing.T) {
	for name, x := range map[string]struct {
		do    func(f *fleet)
		least int // Requests that each cold server got in the first second at least, on average.
		// unknown is the time from the start of the cold in which some process can't know of it. Only even load bounds what
		// a warm server gets.
		unknown time.Duration
		checked bool // Servers are asked for their health.
	}{
		"release in turn": {least: 5, do: func(f *fleet) {
			for i := range 8 {
				f.chill(2*i, 2, 1, true, 0)
				f.run(900 * time.Millisecond)
			}
		}},
		"a zone returns at a crest, with health checks": {least: 5, checked: true, do: func(f *fleet) {
			f.stop(0, 4)
			f.run(2 * time.Second)
			f.chill(0, serverCount, 4, true, 100*time.Millisecond)
		}},
		"a zone returns at a crest": {least: 5, do: func(f *fleet) {
			f.stop(0, 4)
			f.run(2 * time.Second)
			f.chill(0, serverCount, 4, true, 100*time.Millisecond)
		}},
		"all return": {least: 5, do: func(f *fleet) {
			f.stop(0, 1)
			f.run(2 * time.Second)
			f.chill(0, serverCount, 1, true, 100*time.Millisecond)
		}},
		"cold again without a restart": {least: 1, unknown: 1600 * time.Millisecond, do: func(f *fleet) {
			f.chill(0, serverCount, 4, false, 1200*time.Millisecond)
		}},
		"cold again, before anybody can know": {least: 1, checked: true, do: func(f *fleet) {
			f.chill(0, serverCount, 4, false, 1200*time.Millisecond)
		}},
		"down and up before the list shows it": {least: 1, do: func(f *fleet) {
			for range 3 {
				f.stop(0, 10)
				f.run(1400 * time.Millisecond)
				f.chill(0, serverCount, 10, true, 1200*time.Millisecond)
				f.run(1400 * time.Millisecond)
			}
		}},
		"half of the processes learn nothing": {least: 3, do: func(f *fleet) {
			for _, p := range f.processes[entries/2:] {
				p.cut = true
				p.gate.SetIsolated(true)
			}
			f.chill(0, serverCount, 4, true, 0)
		}},
		"a few processes are cut off": {least: 5, do: func(f *fleet) {
			for _, p := range f.processes[:4] {
				p.cut = true
				p.gate.SetIsolated(true)
			}
			f.chill(0, serverCount, 4, true, 0)
		}},
		"processes restart during the warm-up": {least: 5, do: func(f *fleet) {
			f.chill(0, serverCount, 4, true, 0)
			f.run(time.Second)
			for i := range 5 {
				f.start(i)
			}
		}},
		"a process joins, which half of the others know": {least: 5, do: func(f *fleet) {
			f.joined = entries / 2
			f.processes = append(f.processes, &process{})
			f.start(len(f.processes) - 1)
			f.chill(0, serverCount, 4, true, 0)
		}},
		"cold shortly before an evacuation": {checked: true, do: func(f *fleet) {
			f.chill(0, serverCount, 4, false, 1200*time.Millisecond)
			f.run(time.Second)
			f.tell(func(_ int, p *process) { p.gate.SetEvacuated(map[string]bool{"z0": true}) })
			f.run(time.Second)
			f.tell(func(_ int, p *process) { p.gate.SetEvacuated(nil) })
		}},
		"the end of an evacuation": {do: func(f *fleet) {
			f.tell(func(_ int, p *process) { p.gate.SetEvacuated(map[string]bool{"z0": true}) })
			f.run(2 * time.Second)
			for _, x := range f.instances {
				if x.backend.Zone() == "z0" {
					x.coldUntil, x.arrivals = time.Now().Add(coldTime), nil
				}
			}
			f.run(time.Second) // The service is down; nobody knows of the end.
			f.tell(func(_ int, p *process) { p.gate.SetEvacuated(nil) })
			f.chill(0, serverCount, 4, false, 1200*time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.refused, f.checked = 0, x.checked
				x.do(f)
				f.run(2 * coldTime)
				cold, first := 0, 0
				for _, r := range f.instances {
					if n := r.most(r.coldUntil.Add(x.unknown - coldTime)); n > bound {
						t.Errorf("%s got %d requests in one second", r.backend.ID(), n)
					}
					if r.coldUntil.IsZero() {
						continue
					}
					cold++
					for _, a := range r.arrivals {
						if a.Before(r.coldUntil.Add(time.Second - coldTime)) {
							first++
						}
					}
				}
				t.Logf("%d cold servers, %d requests in their first second, %d refused", cold, first, f.refused)
				if first < x.least*cold {
					t.Errorf("%d cold servers got %d requests in their first second", cold, first)
				}
			})
		})
	}
}

// TestSuspects guards against a process that is cut off from servers and lets all others count them as cold, and against a
// server that nobody reaches and that counts as warm when it is back.
func TestSuspects(t *testing.T) {
	for name, x := range map[string]struct {
		own       bool
		reporters []string
		pause     time.Duration // Time between two reports.
		want      int
	}{
		"none":                      {},
		"this process":              {own: true, want: 1},
		"one other":                 {reporters: []string{"a", "a"}},
		"two others":                {reporters: []string{"a", "b"}, want: 1},
		"two others, not together":  {reporters: []string{"a", "b"}, pause: 2 * suspectTime},
		"this process and an other": {own: true, reporters: []string{"a"}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New("p0", false, bulrushlug.NewWarmup(1.5, 5), func() ([]string, uint64) { return nil, 0 })
				g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 7.6, coldTime)})
				b := bulrushlug.NewBackend("s0", "s", "h:1")
				g.Update([]bulrushlug.Backend{b})
				time.Sleep(reportLag)
				if x.own {
					g.Suspect(b)
				}
				for _, vm := range x.reporters {
					g.SuspectReported(vm, []string{"s0", "unknown"})
					time.Sleep(x.pause)
				}
				if n := g.Cold(); n != x.want {
					t.Errorf("%d servers count as cold", n)
				}
				if l := g.Suspects(); (len(l) == 1) != x.own {
					t.Errorf("the next report has %q", l)
				}
			})
		})
	}
}

// TestSeatsOfServices has the cold rate of a service change: the processes that hold seats follow, on the same list of members.
func TestSeatsOfServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var members []string
		for i := range entries {
			members = append(members, fmt.Sprint("p", i))
		}
		b := bulrushlug.NewBackend("s0", "s", "h:1", bulrushlug.BackendZoneSlots("z", 8), bulrushlug.BackendStart(1, 1), bulrushlug.BackendColdTime(time.Minute))
		var gates []*Gate
		for _, vm := range members {
			g := New(vm, false, bulrushlug.NewWarmup(1.5, 5), func() ([]string, uint64) { return members, 1 })
			g.Update([]bulrushlug.Backend{b})
			gates = append(gates, g)
		}
		for _, rate := range []float64{7.6, 1, 7.6} {
			time.Sleep(2 * time.Second)
			want := divide(bulrushlug.NewWarmup(1.5, 5).Requests(rate), false)
			n := 0
			for _, g := range gates {
				g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", rate, coldTime)})
				if g.Open(b, time.Now()) {
					n++
				}
			}
			if n != want.seats {
				t.Errorf("%d processes send to a server with a cold rate of %v, want %d", n, rate, want.seats)
			}
		}
	})
}

// TestToldToBeCold guards against a server that says that it is cold and gets requests all the same, against one that is
// closed again and again by what is known, and against reports that grow or repeat what others said.
func TestToldToBeCold(t *testing.T) {
	const rate = 7.6
	for name, x := range map[string]struct {
		service string        // The server's.
		left    time.Duration // What the server says.
		other   bool          // It says so to another process.
		after   time.Duration // Time since the list was read.
		turned  bool
		cold    time.Duration // Time for which it counts as cold.
		told    int           // Servers in this process's next report.
	}{
		"it tells this process":             {service: "s", left: 2 * time.Second, after: 2 * reportLag, turned: true, cold: 2 * time.Second, told: 1},
		"it tells another":                  {service: "s", left: 2 * time.Second, other: true, after: 2 * reportLag, cold: 2 * time.Second},
		"it is known to be cold":            {service: "s", left: 2 * time.Second, cold: 2 * time.Second, told: 1},
		"it is warm":                        {service: "s", after: 2 * reportLag},
		"for very long":                     {service: "s", left: 1 << 62, after: 2 * reportLag, turned: true, cold: maxSaid, told: 1},
		"of a service that needs no warmup": {service: "t", left: 2 * time.Second, after: 2 * reportLag},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New("p0", false, bulrushlug.NewWarmup(1.5, 5), func() ([]string, uint64) { return []string{"p0"}, 1 })
				g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", rate, coldTime)})
				b := bulrushlug.NewBackend("s0", x.service, "h:1", bulrushlug.BackendStart(1, 1))
				g.Update([]bulrushlug.Backend{b})
				time.Sleep(x.after)
				turned := false
				if x.other {
					g.ColdReported([]bulrushlug.ColdServer{bulrushlug.NewColdServer("s0", x.left), bulrushlug.NewColdServer("unknown", x.left)})
				} else {
					turned = g.RecordCold(b, x.left)
				}
				if turned != x.turned {
					t.Errorf("turned cold: %v", turned)
				}
				if l := g.Told(); len(l) != x.told || x.told > 0 && l[0].Left() != x.cold {
					t.Errorf("the next report has %v", l)
				}
				if closed := !g.Open(b, time.Now()); closed != (x.cold > 0 && x.after > 0) {
					t.Errorf("closed: %v", closed)
				}
				time.Sleep(max(0, min(x.cold, coldTime)-time.Millisecond))
				if n := g.Cold(); x.cold > 0 && n != 1 || len(g.Told()) > 0 {
					t.Errorf("%d servers count as cold, the next report has %v", n, g.Told())
				}
				time.Sleep(x.cold)
				if l := g.Warm(); (len(l) == 1) != (x.service == "s") {
					t.Errorf("%d servers are asked for their health", len(l))
				}
			})
		})
	}
}

// TestDivide guards against a bound of which nobody has a part, and against parts that exceed it together.
func TestDivide(t *testing.T) {
	for name, x := range map[string]struct{ online, items int }{"0": {}, "1": {1, 0}, "2": {1, 0}, "3": {1, 0}, "4": {1, 1}, "5": {2, 1}, "16": {10, 4}, "22": {16, 4}, "40": {32, 4}, "1000": {880, 4}} {
		t.Run(name, func(t *testing.T) {
			n := 0
			if _, err := fmt.Sscan(name, &n); err != nil {
				t.Fatal(err)
			}
			o, b := divide(n, false), divide(n, true)
			if o.seats*o.share != x.online || b.seats*b.share != x.items || x.online+x.items > n {
				t.Errorf("%+v of requests, %+v of items", o, b)
			}
		})
	}
}

// TestStall stops a process that knows all servers to be warm, and looks at what it sends to one in the first moments after
// it goes on, before and after its first Tick.
func TestStall(t *testing.T) {
	const step = 200 * time.Millisecond
	for name, x := range map[string]struct {
		watched bool
		gap     time.Duration
		holds   bool // The process holds a seat.
		bounded bool
	}{
		"none":                        {watched: true, gap: step, holds: true},
		"short":                       {watched: true, gap: maxGap - step, holds: true},
		"long, with a seat":           {watched: true, gap: 5 * time.Second, holds: true, bounded: true},
		"long, without a seat":        {watched: true, gap: 5 * time.Second, bounded: true},
		"long, where nobody watches":  {gap: 5 * time.Second, holds: true},
		"just too long, with a seat":  {watched: true, gap: maxGap, holds: true, bounded: true},
		"just too long, without seat": {watched: true, gap: maxGap, bounded: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New("p0", false, bulrushlug.NewWarmup(1.5, 5), func() ([]string, uint64) {
					if x.holds {
						return []string{"p0"}, 1
					}
					return nil, 1
				})
				g.SetServices([]bulrushlug.Service{bulrushlug.NewService("s", 7.6, coldTime)})
				b := bulrushlug.NewBackend("s0", "s", "h:1")
				g.Update([]bulrushlug.Backend{b})
				tick := func() {
					if x.watched {
						g.Tick(time.Now())
					}
				}
				for range 20 {
					tick()
					time.Sleep(step)
				}
				tick()
				time.Sleep(x.gap)
				send := func() (n int) {
					for range 10 {
						if g.Admit(b, time.Now()) {
							n++
						}
					}
					return n
				}
				want := 20
				if x.bounded {
					want = 0
					if x.holds {
						want = 1
					}
				}
				n := send()
				tick()
				if n += send(); n != want {
					t.Errorf("%d requests after a stall, want %d", n, want)
				}
				for range 10 {
					time.Sleep(step)
					tick()
				}
				if n := send(); n != 10 {
					t.Errorf("%d of 10 requests two seconds later", n)
				}
			})
		})
	}
}
