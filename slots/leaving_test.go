package slots

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// run returns the run of server id that started at start and listens on address.
func run(id, address string, start uint64, o ...bulrushlug.BackendOption) bulrushlug.Backend {
	return bulrushlug.NewBackend(id, "s", address, append(o, bulrushlug.BackendZoneSlots("z", 8), bulrushlug.BackendStart(start, 1))...)
}

// chosen returns the servers that online requests and batch items get.
func chosen(b *Table) []string {
	m := map[string]bool{}
	for range 40 {
		if l, _ := b.AcquireOnline("s", nil); l != nil {
			m[l.Backend().ID()] = true
			l.Release()
		}
		if l := b.AcquireBatch("s"); l != nil {
			m[l.Backend().ID()] = true
			l.Release()
		}
		time.Sleep(startInterval)
	}
	var l []string
	for id := range m {
		l = append(l, id)
	}
	slices.Sort(l)
	return l
}

// TestLeavingServerGetsRequests guards against requests and items at servers that said that they are leaving, and against
// a service that is out because one server or one report says so.
func TestLeavingServerGetsRequests(t *testing.T) {
	a, b := run("a", "h:1", 5), run("b", "h:2", 5)
	both := []bulrushlug.Backend{a, b}
	told := func(x bulrushlug.Backend) func(t *Table) {
		return func(t *Table) { t.RecordDeparture(bulrushlug.NewDeparture(x, "r", "response")) }
	}
	reported := func(l ...bulrushlug.Backend) func(t *Table) { return func(t *Table) { t.RecordReported(l) } }
	misdirected := func(x bulrushlug.Backend) func(t *Table) {
		return func(t *Table) { t.RecordDeparture(bulrushlug.NewDeparture(x, "r", "response").WithMisdirected()) }
	}
	list := func(l ...bulrushlug.Backend) func(t *Table) { return func(t *Table) { t.Update(l) } }
	wait := func(d time.Duration) func(t *Table) { return func(*Table) { time.Sleep(d) } }
	for name, x := range map[string]struct {
		steps []func(t *Table) // What happens after both servers were listed.
		want  []string         // Servers that get requests or items afterwards.
		full  bool             // The available servers have no slot.
	}{
		"none leaves":                             {want: []string{"a", "b"}},
		"one leaves":                              {steps: []func(*Table){told(a)}, want: []string{"b"}},
		"one is reported":                         {steps: []func(*Table){reported(a)}, want: []string{"b"}},
		"a list that still shows it as ready":     {steps: []func(*Table){told(a), list(both...), wait(10 * time.Second), list(both...)}, want: []string{"b"}},
		"off the list and on it again":            {steps: []func(*Table){told(a), list(b), wait(10 * time.Second), list(both...)}, want: []string{"b"}},
		"off the list for a while":                {steps: []func(*Table){told(a), list(b), wait(10 * time.Second), list(b), list(both...)}, want: []string{"b"}},
		"told while it is off the list":           {steps: []func(*Table){list(b), told(a), list(both...)}, want: []string{"b"}},
		"off the list for long":                   {steps: []func(*Table){told(a), list(b), wait(forgetTimeout + time.Second), list(b), list(both...)}, want: []string{"a", "b"}},
		"long on the list":                        {steps: []func(*Table){told(a), wait(2 * leavingTimeout)}, want: []string{"b"}},
		"a restart":                               {steps: []func(*Table){told(a), list(run("a", "h:1", 6), b)}, want: []string{"a", "b"}},
		"a restart, told by the earlier run":      {steps: []func(*Table){list(run("a", "h:1", 6), b), told(a)}, want: []string{"a", "b"}},
		"a restart, reported late":                {steps: []func(*Table){list(run("a", "h:1", 6), b), reported(a)}, want: []string{"a", "b"}},
		"another address":                         {steps: []func(*Table){told(a), list(run("a", "h:3", 5), b)}, want: []string{"a", "b"}},
		"another server at its address":           {steps: []func(*Table){told(a), list(run("c", "h:1", 6), b)}, want: []string{"b", "c"}},
		"another server there leaves":             {steps: []func(*Table){list(a, run("c", "h:1", 6), b), misdirected(a)}, want: []string{"a", "b"}},
		"another server there that is not listed": {steps: []func(*Table){misdirected(a)}, want: []string{"a", "b"}},
		"an unknown server":                       {steps: []func(*Table){told(run("z", "h:9", 1)), reported(run("y", "h:8", 1))}, want: []string{"a", "b"}},
		"all told":                                {steps: []func(*Table){told(a), told(b)}},
		"all told, long ago":                      {steps: []func(*Table){told(a), told(b), wait(leavingTimeout)}, want: []string{"a", "b"}},
		"all told, long ago, again":               {steps: []func(*Table){told(a), told(b), wait(leavingTimeout), told(a)}, want: []string{"a", "b"}},
		"all reported":                            {steps: []func(*Table){reported(a, b)}, want: []string{"a", "b"}},
		"one told, one reported":                  {steps: []func(*Table){told(a), reported(b)}, want: []string{"b"}},
		"one reported, then told":                 {steps: []func(*Table){reported(a, b), told(a)}, want: []string{"b"}},
		"one reported, the other is draining": {steps: []func(*Table){reported(a),
			list(a, run("b", "h:2", 5, bulrushlug.BackendDraining(true)))}, want: []string{"a"}},
		"one reported and draining, the other told": {steps: []func(*Table){told(b), reported(a),
			list(run("a", "h:1", 5, bulrushlug.BackendDraining(true)), b)}},
		"one reported, the other failed": {steps: []func(*Table){reported(a), func(t *Table) {
			l, _ := t.AcquireOnline("s", nil)
			l.RecordFailure()
			l.Release()
		}}, want: []string{"b"}},
		"one reported, the other is full": {steps: []func(*Table){reported(a), func(t *Table) {
			for l, _ := t.AcquireOnline("s", nil); l != nil; l, _ = t.AcquireOnline("s", nil) {
				continue
			}
		}}, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New("e", alone)
				b.Update(both)
				for _, f := range x.steps {
					f(b)
				}
				if l := chosen(b); !slices.Equal(l, x.want) {
					t.Errorf("chosen: %v", l)
				}
				if n := b.Available("s"); (n == 0) != (x.want == nil && !x.full) {
					t.Errorf("%d are available", n)
				}
			})
		})
	}
}

// TestRetryAtLeavingServer guards against a leaving server as the last resort of a request that failed elsewhere.
func TestRetryAtLeavingServer(t *testing.T) {
	b := New("e", alone)
	l := []bulrushlug.Backend{run("a", "h:1", 5), run("b", "h:2", 5)}
	b.Update(l)
	b.RecordReported(l[:1])
	if x, _ := b.AcquireOnline("s", map[string]bool{"b": true}); x != nil {
		t.Errorf("server %s gets the request", x.Backend().ID())
	}
}

// TestLeavingServerWithoutStart has servers whose runs can't be told apart.
func TestLeavingServerWithoutStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("e", alone)
		l := []bulrushlug.Backend{run("a", "h:1", 0), run("b", "h:2", 0)}
		b.Update(l)
		b.RecordDeparture(bulrushlug.NewDeparture(l[0], "r", "response"))
		b.Update(l)
		if got := chosen(b); !slices.Equal(got, []string{"b"}) {
			t.Errorf("chosen while it is on the list: %v", got)
		}
		b.Update(l[1:])
		b.Update(l)
		if got := chosen(b); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("chosen once it was listed again: %v", got)
		}
	})
}

// TestRunningRequestsOutliveTheirServersDeparture has a server say that it is leaving while a request and items run there.
func TestRunningRequestsOutliveTheirServersDeparture(t *testing.T) {
	b := New("e", alone)
	b.Update([]bulrushlug.Backend{backend("a", 8)})
	online, _ := b.AcquireOnline("s", nil)
	item := b.AcquireBatch("s")
	b.RecordDeparture(bulrushlug.NewDeparture(backend("a", 8), "r", "response"))
	if u := b.Usages(); len(u) != 1 || u[0].Online() != 1 || u[0].Batch() != 1 || len(b.Preemptions()) > 0 {
		t.Errorf("usages %v, preemptions %v", u, b.Preemptions())
	}
	online.RecordSuccess(0)
	online.Release()
	item.Release()
	if u := b.Usages(); len(u) > 0 {
		t.Errorf("usages %v", u)
	}
}

// TestDeparturesAreReported checks which departures are new, and which are passed on to the other processes.
func TestDeparturesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("e", alone)
		var l []bulrushlug.Backend
		for i := range 2 * maxReported {
			l = append(l, run(fmt.Sprint("s", i), fmt.Sprint("h:", i), 1))
		}
		b.Update(l)
		if n := len(b.RecordReported(l[:10])); n != 10 {
			t.Errorf("%d reported departures are new", n)
		}
		if n := len(b.RecordReported(l[:10])); n != 0 {
			t.Errorf("%d reported departures are new again", n)
		}
		if n := len(b.Leaving()); n != 0 {
			t.Errorf("%d departures are passed on from reports", n)
		}
		for i, x := range l {
			time.Sleep(time.Millisecond)
			for _, want := range []int{1, 0} {
				if n := len(b.RecordDeparture(bulrushlug.NewDeparture(x, "r", "response"))); n != want {
					t.Errorf("server %d: %d departures are new, want %d", i, n, want)
				}
			}
		}
		got := b.Leaving()
		if len(got) != maxReported || !got[0].SameInstance(l[len(l)-1]) {
			t.Errorf("%d departures are passed on, first %v", len(got), got[0])
		}
		b.Update(l[:3])
		if n := len(b.Leaving()); n != 3 {
			t.Errorf("%d departures are passed on of 3 servers on the list", n)
		}
		time.Sleep(2 * forgetTimeout)
		b.Update(l[:3])
		n := 0
		for i := range b.shards {
			n += len(b.shards[i].leaving)
		}
		if n != 3 {
			t.Errorf("%d departures are kept", n)
		}
	})
}

// TestLastResorts checks that requests at leaving servers are counted.
func TestLastResorts(t *testing.T) {
	b := New("e", alone)
	l := []bulrushlug.Backend{backend("a", 8)}
	b.Update(l)
	x, _ := b.AcquireOnline("s", nil)
	x.Release()
	b.RecordReported(l)
	x, _ = b.AcquireOnline("s", nil)
	y := b.AcquireBatch("s")
	if x == nil || y == nil || b.LastResorts() != 2 {
		t.Errorf("%v and %v, %d counted", x, y, b.LastResorts())
	}
}
