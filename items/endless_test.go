package items

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// TestTextWithoutEnd guards against a process that keeps all that a faulty server sends to an item, and against an item that
// is completed with it, left lying, given up early or run again and again.
func TestTextWithoutEnd(t *testing.T) {
	const (
		plenty   = 64 << 20
		mostRuns = 30 // Within the retention of a minute, at a back-off of up to 3 s.
	)
	for name, x := range map[string]struct {
		budget int
		tokens int // Most tokens of the response; zero if the request does not say.
		status []int
		kept   uint64 // Event after which the second run resumes.
		read   int64  // Most bytes that are read of one response without end.
		given  bool   // The item is given up at the end of its retention, and not before; otherwise it is completed at once.
	}{
		"small events":                        {budget: plenty, status: []int{eventsWithoutEnd}, read: 16 * maxTextBytes},
		"small events, the tokens are known":  {budget: plenty, tokens: 20, status: []int{eventsWithoutEnd}, read: 8 << 10},
		"small events, without memory":        {tokens: 0, status: []int{eventsWithoutEnd}, read: 64 << 10},
		"long events":                         {budget: plenty, status: []int{longEvents}, read: 2 * maxTextBytes},
		"long events, without memory":         {status: []int{longEvents}, read: 64 << 10},
		"after some whole ones":               {budget: plenty, status: []int{breaksOff, longEvents}, kept: 3, read: 2 * maxTextBytes},
		"two times":                           {budget: plenty, status: []int{longEvents, longEvents}, read: 4 * maxTextBytes},
		"for ever":                            {budget: plenty, status: repeat(longEvents, 1000), read: mostRuns * 2 * maxTextBytes, given: true},
		"as many events as tokens":            {budget: plenty, tokens: eventCount},
		"some more events than tokens":        {budget: plenty, tokens: eventCount - spareEvents},
		"a failure without end":               {budget: plenty, status: []int{500 + withoutEnd}, read: 2 * maxFailureBytes},
		"failures without end":                {budget: plenty, status: repeat(500+withoutEnd, 1000), read: mostRuns * 2 * maxFailureBytes, given: true},
		"a rejection without end":             {budget: plenty, status: []int{422 + withoutEnd}, read: 2 * maxFailureBytes},
		"rejections without end":              {budget: plenty, status: repeat(422+withoutEnd, 1000), read: mostRuns * 2 * maxFailureBytes, given: true},
		"a rejection that breaks off":         {budget: plenty, status: []int{422 + brokenOff}},
		"failures that break off":             {budget: plenty, status: repeat(500+brokenOff, 4)},
		"failures that break off, for ever":   {budget: plenty, status: repeat(500+brokenOff, 1000), given: true},
		"whole failures and broken ones":      {budget: plenty, status: []int{500, 500 + brokenOff, 500, 500 + brokenOff}},
		"whole, without memory for the text":  {},
		"breaks off, without memory for more": {status: []int{breaksOff}, kept: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				s := newSystem(c, map[string][]int{"i0": x.status})
				m := memory.New(x.budget)
				s.runner.memory = m
				l := bulrushlug.NewLotItem("i0", "/p", []bulrushlug.Field{bulrushlug.NewField(tokensField, strconv.Itoa(x.tokens))}, nil)
				if err := s.manager.Submit(c, bulrushlug.NewLot("lot", "o", "r", "h", time.Now(), []bulrushlug.LotItem{l})); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				want := whole()
				if x.given {
					want = ""
				}
				if got := s.listed(t)["i0"]; got != want {
					t.Errorf("after 30 s the result is %q", got)
				}
				time.Sleep(40 * time.Second)
				if x.given {
					want = "given up"
				}
				if got := s.listed(t)["i0"]; got != want {
					t.Errorf("after 70 s the result is %q", got)
				}
				s.server.mu.Lock()
				runs, resume := s.server.runs["i0"], s.server.resume["i0"]
				s.server.mu.Unlock()
				if runs > mostRuns {
					t.Errorf("the item ran %d times", runs)
				}
				if len(resume) > 1 && resume[1] != x.kept || len(resume) > 2 && !x.given && x.status[len(x.status)-1] != 500+brokenOff && resume[len(resume)-1] != 0 {
					t.Errorf("runs resumed after %v", resume)
				}
				if n := s.server.endless.Load(); n > x.read {
					t.Errorf("%d bytes of responses without end were read, %d may be", n, x.read)
				}
				if m.Used() != 0 {
					t.Errorf("%d bytes are reserved in the end", m.Used())
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// TestServerOfTextWithoutEnd guards against a faulty server that gets the next items at once.
func TestServerOfTextWithoutEnd(t *testing.T) {
	for name, status := range map[string]int{"events": longEvents, "a failure": 500 + withoutEnd} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				all := map[string][]int{}
				for i := range 6 {
					all[fmt.Sprint("i", i)] = repeat(status, 1000)
				}
				s := newSystem(c, all)
				if err := s.submit(c, 6); err != nil {
					t.Fatal(err)
				}
				time.Sleep(900 * time.Millisecond)
				s.server.mu.Lock()
				runs := 0
				for _, n := range s.server.runs {
					runs += n
				}
				s.server.mu.Unlock()
				if runs > 4 {
					t.Errorf("%d runs at a server with 4 slots in its first back-off", runs)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
