package poison

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

// fixture is a detector and another one whose process reports to it.
type fixture struct {
	*Detector
	other   *Detector
	alive   bool // Servers accept connections.
	changes int  // Calls of the callback of the detector.
}

func newFixture() *fixture {
	x := &fixture{}
	refuses := func(context.Context, string) bool { return !x.alive }
	x.Detector = New(refuses, func() { x.changes++ }, log.NewNopLogger(), new(expvar.Map).Init())
	x.other = New(refuses, func() {}, log.NewNopLogger(), new(expvar.Map).Init())
	return x
}

func prompt(parts ...string) bulrushlug.Prompt { return bulrushlug.NewPrompt("r", "m", parts...) }

// endServer records that server s ended on a request with the given parts.
func endServer(d *Detector, s string, parts ...string) {
	d.RecordBroken(context.Background(), bulrushlug.NewBackend(s, "s", s+":1"), prompt(parts...))
}

// crashes ends the servers n to m-1, each on another request with the given shared parts.
func crashes(d *Detector, n, m int, parts ...string) {
	for i := n; i < m; i++ {
		endServer(d, fmt.Sprint("server-", i), append(parts[:len(parts):len(parts)], fmt.Sprint("own-", i))...)
	}
}

func TestCheck(t *testing.T) {
	for name, x := range map[string]struct {
		during func(x *fixture)
		held   map[string]bulrushlug.Prompt // Must be held back.
		passes map[string]bulrushlug.Prompt // Must pass.
	}{
		"nothing happened": {during: func(*fixture) {}, passes: map[string]bulrushlug.Prompt{"any": prompt("a", "d", "o"), "without parts": prompt()}},
		"two servers": {during: func(x *fixture) { crashes(x.Detector, 0, 2, "a", "d") },
			passes: map[string]bulrushlug.Prompt{"the parts": prompt("a", "d", "o")}},
		"three servers": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "a", "d") },
			held:   map[string]bulrushlug.Prompt{"the parts": prompt("a", "d", "o"), "in another order": prompt("d", "a", "o")},
			passes: map[string]bulrushlug.Prompt{"one of two that may be at fault": prompt("a", "b", "o"), "the other one": prompt("b", "d", "o"), "other parts": prompt("b", "c", "o")}},
		"one part was cleared": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "a", "d"); x.RecordBegun(prompt("a", "b", "o")) },
			held:   map[string]bulrushlug.Prompt{"the parts": prompt("a", "d", "o"), "the one at fault": prompt("b", "d", "o")},
			passes: map[string]bulrushlug.Prompt{"the cleared one": prompt("a", "b", "o")}},
		"one part was not there each time": {during: func(x *fixture) { crashes(x.Detector, 0, 2, "a", "d"); crashes(x.Detector, 2, 4, "b", "d") },
			held:   map[string]bulrushlug.Prompt{"the one at fault": prompt("c", "d", "o")},
			passes: map[string]bulrushlug.Prompt{"the others": prompt("a", "b", "o")}},
		"one server three times": {during: func(x *fixture) {
			for i := range 3 {
				endServer(x.Detector, "server", "a", "d", fmt.Sprint("own-", i))
			}
		}, passes: map[string]bulrushlug.Prompt{"the parts": prompt("a", "d", "o")}},
		"one request three times": {during: func(x *fixture) {
			for i := range 3 {
				endServer(x.Detector, fmt.Sprint("server-", i), "a", "d", "own")
			}
		}, held: map[string]bulrushlug.Prompt{"the request": prompt("a", "d", "own")}, passes: map[string]bulrushlug.Prompt{"another one": prompt("a", "d", "o")}},
		"servers that go on": {during: func(x *fixture) { x.alive = true; crashes(x.Detector, 0, 9, "a", "d") },
			passes: map[string]bulrushlug.Prompt{"the parts": prompt("a", "d", "o")}},
		"a success in between": {during: func(x *fixture) {
			crashes(x.Detector, 0, 2, "d")
			time.Sleep(time.Second)
			x.RecordBegun(prompt("d", "o"))
			time.Sleep(time.Second)
			crashes(x.Detector, 2, 4, "d")
		}, passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"another route or model": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "d") },
			passes: map[string]bulrushlug.Prompt{"another route": bulrushlug.NewPrompt("q", "m", "d", "o"), "another model": bulrushlug.NewPrompt("r", "n", "d", "o")}},
		"the last part of another": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "d") },
			passes: map[string]bulrushlug.Prompt{"own": prompt("a", "own-0")}},
		"just before the end of the quarantine": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "d"); time.Sleep(minQuarantine - time.Second) },
			held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"after the quarantine": {during: func(x *fixture) { crashes(x.Detector, 0, 3, "d"); time.Sleep(minQuarantine + time.Second) },
			passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a crash after the quarantine": {during: func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			time.Sleep(minQuarantine + time.Second)
			crashes(x.Detector, 3, 4, "d")
			time.Sleep(minQuarantine + time.Second)
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"crashes long ago": {during: func(x *fixture) {
			crashes(x.Detector, 0, 2, "d")
			time.Sleep(crashLifetime + time.Second)
			crashes(x.Detector, 2, 4, "d")
		}, passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"crashes that another process saw": {during: func(x *fixture) {
			crashes(x.other, 0, 2, "d")
			crashes(x.Detector, 2, 3, "d")
			x.Merge(x.other.Suspects())
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a crash that both saw": {during: func(x *fixture) {
			crashes(x.other, 0, 2, "d")
			crashes(x.Detector, 0, 2, "d")
			x.Merge(x.other.Suspects())
		}, passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a success that another process saw": {during: func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			x.other.Merge(x.Suspects())
			time.Sleep(time.Second)
			x.other.RecordBegun(prompt("d", "o"))
			x.Merge(x.other.Suspects())
		}, passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a late report of crashes before a success": {during: func(x *fixture) {
			crashes(x.other, 0, 3, "d")
			l := x.other.Suspects()
			x.Merge(l)
			time.Sleep(time.Second)
			x.RecordBegun(prompt("d", "o"))
			x.Merge(x.other.Suspects())
		}, passes: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a process that restarted": {during: func(x *fixture) {
			crashes(x.other, 0, 3, "d")
			time.Sleep(minQuarantine + time.Second)
			crashes(x.other, 3, 4, "d")
			time.Sleep(10 * time.Second)
			x.Merge(x.other.Suspects())
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"many requests on each of the first servers": {during: func(x *fixture) {
			for i := range 2 * maxCrashes {
				endServer(x.Detector, fmt.Sprint("server-", i%2), "d", fmt.Sprint("own-", i))
			}
			crashes(x.Detector, 2, 3, "d")
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"a crash after many, beyond the quarantine": {during: func(x *fixture) {
			crashes(x.Detector, 0, maxCrashes, "d")
			time.Sleep(maxQuarantine + time.Second)
			crashes(x.Detector, maxCrashes, maxCrashes+1, "d")
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "o")}},
		"many other crashes": {during: func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			time.Sleep(2 * togetherTime)
			for i := range 2 * maxSuspects {
				endServer(x.Detector, fmt.Sprint("other-", i), fmt.Sprint("part-", i), "o")
			}
		}, held: map[string]bulrushlug.Prompt{"the part": prompt("d", "p")}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				x.during(f)
				for n, p := range x.held {
					if err := f.Check(p); err == nil || bulrushlug.KindOf(err) != bulrushlug.KindQuarantined || bulrushlug.RetryAfterOf(err) <= 0 {
						t.Errorf("%s: error %v", n, err)
					}
				}
				for n, p := range x.passes {
					if err := f.Check(p); err != nil {
						t.Errorf("%s: error %v", n, err)
					}
				}
			})
		})
	}
}

// TestAllReleasedAtOnce counts the requests that pass at the end of a quarantine.
func TestAllReleasedAtOnce(t *testing.T) {
	for name, x := range map[string]struct {
		then func(x *fixture) // Happens after the first request has passed.
		want int              // Further requests that pass.
	}{
		"nothing":                       {then: func(*fixture) {}},
		"it runs":                       {then: func(x *fixture) { x.RecordBegun(prompt("d", "own")) }, want: 100},
		"it runs at another process":    {then: func(x *fixture) { x.other.RecordBegun(prompt("d", "own")); x.Merge(x.other.Suspects()) }, want: 100},
		"a server ends":                 {then: func(x *fixture) { crashes(x.Detector, 3, 4, "d"); time.Sleep(minQuarantine) }},
		"it is lost":                    {then: func(*fixture) { time.Sleep(probeInterval) }, want: 1},
		"requests without the part run": {then: func(x *fixture) { x.RecordBegun(prompt("a", "own")) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				crashes(f.Detector, 0, 3, "d")
				f.other.Merge(f.Suspects())
				time.Sleep(minQuarantine + time.Second)
				if err := f.Check(prompt("d", "own")); err != nil {
					t.Errorf("the first request: error %v", err)
				}
				time.Sleep(100 * time.Millisecond)
				x.then(f)
				n := 0
				for i := range 100 {
					if err := f.Check(prompt("d", fmt.Sprint("own-", i))); err == nil {
						n++
					} else if bulrushlug.RetryAfterOf(err) <= 0 {
						t.Errorf("error %v", err)
					}
				}
				if n != x.want {
					t.Errorf("%d further requests pass", n)
				}
			})
		})
	}
}

// TestSharedCrashOutOfReport has three processes that each see one server end on a part while other parts have as many
// crashes: the newest crashes are reported.
func TestSharedCrashOutOfReport(t *testing.T) {
	for name, others := range map[string]int{"few other crashes": 3, "as many as in a report": maxReported, "many": 3 * maxReported} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				third := New(func(context.Context, string) bool { return !f.alive }, func() {}, log.NewNopLogger(), new(expvar.Map).Init())
				for i, d := range []*Detector{f.Detector, f.other, third} {
					for j := range others {
						crashes(d, 0, 2, fmt.Sprint("other-", i, "-", j))
					}
					time.Sleep(time.Second)
					crashes(d, i, i+1, "a")
				}
				f.Merge(f.other.Suspects())
				f.Merge(third.Suspects())
				if f.Check(prompt("a", "o")) == nil {
					t.Error("the part passes")
				}
			})
		})
	}
}

// TestReportsEnd has two processes repeat to each other what they know: neither a crash nor a success gets newer by it.
func TestReportsEnd(t *testing.T) {
	for name, during := range map[string]func(x *fixture){
		"crashes": func(x *fixture) { crashes(x.Detector, 0, 3, "d") },
		"a success": func(x *fixture) {
			crashes(x.Detector, 0, 3, "d")
			x.other.Merge(x.Suspects())
			x.RecordBegun(prompt("d", "o"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				during(f)
				for range int(crashLifetime/time.Second) + 10 {
					l, m := f.Suspects(), f.other.Suspects()
					time.Sleep(10 * time.Millisecond) // On the way.
					f.Merge(m)
					f.other.Merge(l)
					time.Sleep(990 * time.Millisecond)
				}
				if l := append(f.Suspects(), f.other.Suspects()...); len(l) > 0 {
					t.Errorf("still suspected: %+v", l)
				}
			})
		})
	}
}

// TestSuspects checks the size of a report, and that it has the part with the most crashes.
func TestSuspects(t *testing.T) {
	for name, x := range map[string]struct {
		parts int
		want  int
	}{
		"none": {},
		"few":  {parts: 3, want: 6},
		"many": {parts: 1000, want: maxReported},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				for i := range x.parts {
					endServer(f.Detector, fmt.Sprint("server-", i), fmt.Sprint("part-", i), fmt.Sprint("own-", i))
				}
				if l := f.Suspects(); len(l) != x.want {
					t.Errorf("%d suspects", len(l))
				}
				if f.changes != x.parts {
					t.Errorf("%d calls for %d crashes", f.changes, x.parts)
				}
				crashes(f.Detector, 0, 3, "d")
				if l := f.Suspects(); !slices.ContainsFunc(l, func(s bulrushlug.Suspect) bool { return s.Part() == prompt("d").Parts()[0] }) {
					t.Errorf("the part with the most crashes is not among %d", len(l))
				}
			})
		})
	}
}
