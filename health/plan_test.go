package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestShare counts the processes that check each of 56 servers in four zones, as processes come and go and as they disagree.
func TestShare(t *testing.T) {
	const servers = 56
	var l []bulrushlug.Backend
	for i := range servers {
		l = append(l, bulrushlug.NewBackend(fmt.Sprint("i-", i), "s", "h:1", bulrushlug.BackendZoneSlots(fmt.Sprint("z", i%4), 8)))
	}
	member := func(i int) bulrushlug.Member {
		return bulrushlug.NewMember(fmt.Sprint("p", i), "h:1", "r", fmt.Sprint("z", i%4), bulrushlug.RoleEntry)
	}
	for name, x := range map[string]struct {
		processes   int
		hears       func(p, q int) bool
		least, most int // Processes that check each server.
		each        int // Servers of one process at most.
	}{
		"one process":                       {processes: 1, least: 1, most: 1, each: servers},
		"one in each zone":                  {processes: 4, least: 1, most: 1, each: servers / 4},
		"37 processes":                      {processes: 37, least: 1, most: 1, each: 8},
		"a zone without processes":          {processes: 3, least: 1, most: 1, each: 28},
		"halves that don't hear each other": {processes: 36, hears: func(p, q int) bool { return p/18 == q/18 }, least: 2, most: 2, each: 9},
		"nobody hears anybody":              {processes: 8, hears: func(p, q int) bool { return false }, least: 8, most: 8, each: servers},
		"one that only some hear":           {processes: 36, hears: func(p, q int) bool { return q != 0 || p%8 == 0 }, least: 1, most: 2, each: 9},
	} {
		t.Run(name, func(t *testing.T) {
			checked := map[string]int{}
			for i := range x.processes {
				var alive []bulrushlug.Member
				for k := range x.processes {
					if k == i || x.hears == nil || x.hears(i, k) {
						alive = append(alive, member(k))
					}
				}
				mine := New(member(i), time.Second).Share(l, alive)
				if len(mine) > x.each {
					t.Errorf("%s checks %d servers", member(i).Name(), len(mine))
				}
				for _, b := range mine {
					checked[b.ID()]++
				}
			}
			for _, b := range l {
				if n := checked[b.ID()]; n < x.least || n > x.most {
					t.Errorf("%d processes check %s", n, b.ID())
				}
			}
		})
	}
}

// TestOffset guards against checks outside of their interval, or all at once.
func TestOffset(t *testing.T) {
	for name, d := range map[string]time.Duration{"a second": time.Second, "500 ms": 500 * time.Millisecond, "100 ms": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := New(bulrushlug.NewMember("p", "h:1", "r", "z", bulrushlug.RoleEntry), d)
			early := 0
			for i := range 100 {
				switch x := p.Offset(bulrushlug.NewBackend(fmt.Sprint("i-", i), "s", "h:1")); {
				case x < 0 || x >= d:
					t.Errorf("offset %v", x)
				case x < d/2:
					early++
				}
			}
			if early < 30 || early > 70 {
				t.Errorf("%d of 100 checks are in the first half", early)
			}
		})
	}
}

// TestShareFollows guards against servers that nobody checks, or somebody for ever, after processes or servers came or went.
func TestShareFollows(t *testing.T) {
	server := func(id, zone string) bulrushlug.Backend {
		return bulrushlug.NewBackend(id, "s", "h:1", bulrushlug.BackendZoneSlots(zone, 8))
	}
	other := bulrushlug.NewMember("q", "h:1", "r", "z1", bulrushlug.RoleEntry)
	a, b := server("a", "z0"), server("b", "z1")
	for name, x := range map[string]struct {
		before, after []bulrushlug.Backend
		alive         [2][]bulrushlug.Member
		want          string
	}{
		"nothing":                       {before: []bulrushlug.Backend{a, b}, after: []bulrushlug.Backend{b, a}, want: "[a b]"},
		"a server is new":               {before: []bulrushlug.Backend{a}, after: []bulrushlug.Backend{a, b}, want: "[a b]"},
		"a server is gone":              {before: []bulrushlug.Backend{a, b}, after: []bulrushlug.Backend{b}, want: "[b]"},
		"a server comes back elsewhere": {before: []bulrushlug.Backend{b}, after: []bulrushlug.Backend{server("b", "z0")}, alive: [2][]bulrushlug.Member{{other}, {other}}, want: "[b]"},
		"a process joins":               {before: []bulrushlug.Backend{a, b}, after: []bulrushlug.Backend{a, b}, alive: [2][]bulrushlug.Member{nil, {other}}, want: "[a]"},
		"a process falls silent":        {before: []bulrushlug.Backend{a, b}, after: []bulrushlug.Backend{a, b}, alive: [2][]bulrushlug.Member{{other}, nil}, want: "[a b]"},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(bulrushlug.NewMember("p", "h:1", "r", "z0", bulrushlug.RoleEntry), time.Second)
			p.Share(x.before, x.alive[0])
			var got []string
			for _, s := range p.Share(x.after, x.alive[1]) {
				got = append(got, s.ID())
			}
			slices.Sort(got)
			if fmt.Sprint(got) != x.want {
				t.Errorf("checks %v, want %s", got, x.want)
			}
		})
	}
}
