package items

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

const (
	faultLots  = 3
	faultItems = 3
	faultTime  = 25 * time.Second
)

// reader is a caller that reads lots from any process and remembers what it read.
type reader struct {
	t       *testing.T
	results map[string][]string // By lot, at their positions.
}

// read reads lot i at every process, and checks that what was read before is still there.
func (r *reader) read(c context.Context, g *group, i string) (total int) {
	g.mu.Lock()
	l := []*process{}
	for _, p := range g.processes {
		if p.alive {
			l = append(l, p)
		}
	}
	g.mu.Unlock()
	for _, p := range l {
		known := len(r.results[i])
		x, err := p.manager.Read(c, bulrushlug.NewLotQuery(i, "o"))
		if err != nil || !g.isAlive(p) {
			continue
		}
		if len(x.Results()) < known {
			r.t.Errorf("lot %s at %s: %d results, %d before", i, p.vm, len(x.Results()), known)
		}
		for n, y := range x.Results() {
			s := fmt.Sprint(y.ID(), y.Completed(), y.Text())
			switch {
			case n >= len(r.results[i]):
				r.results[i] = append(r.results[i], s)
				if err := g.server.check(y.ID(), y.Text()); err != nil {
					r.t.Errorf("lot %s, item %s at %s: %v", i, y.ID(), p.vm, err)
				}
			case r.results[i][n] != s:
				r.t.Errorf("lot %s at %s: another result at position %d", i, p.vm, n)
			}
		}
	}
	return len(r.results[i])
}

// step makes one random fault.
func (g *group) step(r *rand.Rand, names []string) {
	n := names[r.IntN(len(names))]
	d := time.Duration(100+r.IntN(2500)) * time.Millisecond
	g.mu.Lock()
	p := g.processes[n]
	usable := p.alive && !p.isolated
	g.mu.Unlock()
	if !usable {
		return
	}
	if r.IntN(3) == 0 {
		g.setIsolated(p, true)
		time.AfterFunc(d, func() { g.setIsolated(p, false) })
		return
	}
	if r.IntN(2) == 0 {
		d = time.Duration(50+r.IntN(500)) * time.Millisecond
	}
	g.kill(n)
	time.AfterFunc(d, func() { g.start(n, p.log) })
}

func (g *group) setIsolated(p *process, v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.isolated = v
}

// TestTextsUnderFaults ends, restarts and isolates processes at random while updates come late, out of order or without a
// response, and runs break off; ITEMS_SEEDS sets how many series are played.
func TestTextsUnderFaults(t *testing.T) {
	seeds, first := 30, 0
	if n, err := strconv.Atoi(os.Getenv("ITEMS_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv("ITEMS_FIRST")); err == nil {
		first = n
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				r := rand.New(rand.NewPCG(uint64(seed), 7))
				names := []string{"a", "b", "c", "d"}[:3+r.IntN(2)]
				g := newGroup(c, names...)
				caller := &reader{t, map[string][]string{}}
				for i := range faultLots {
					var l []bulrushlug.LotItem
					for n := range faultItems {
						l = append(l, bulrushlug.NewLotItem(fmt.Sprint("i", i, n), "/p", nil, nil))
					}
					x := bulrushlug.NewLot(fmt.Sprint("lot", i), "o", "r", "h", time.Now(), l)
					if err := g.processes[names[i%len(names)]].manager.Submit(c, x); err != nil {
						t.Fatal(err)
					}
				}
				g.mu.Lock()
				g.random = rand.New(rand.NewPCG(uint64(seed), 8))
				g.mu.Unlock()
				g.server.mu.Lock()
				g.server.random = rand.New(rand.NewPCG(uint64(seed), 9))
				g.server.mu.Unlock()
				for end := time.Now().Add(faultTime); time.Now().Before(end); {
					time.Sleep(time.Duration(100+r.IntN(1500)) * time.Millisecond)
					g.step(r, names)
					for i := range faultLots {
						caller.read(c, g, fmt.Sprint("lot", i))
					}
				}
				g.mu.Lock()
				g.random = nil
				g.mu.Unlock()
				time.Sleep(40 * time.Second)
				for i := range faultLots {
					if n := caller.read(c, g, fmt.Sprint("lot", i)); n != faultItems {
						t.Errorf("lot %d has %d results", i, n)
					}
				}
				stop()
				time.Sleep(5 * time.Second)
				synctest.Wait()
			})
		})
	}
}
