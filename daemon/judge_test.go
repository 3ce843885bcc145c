package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// acceptedTime is the time after the acceptance of a lot from which every entry must know it.
const acceptedTime = time.Second

// judge checks what callers and backend servers of a soak see; it shares no code with what it checks.
type judge struct {
	mu       sync.Mutex
	faults   []string
	runs     map[string]int       // Runs of each request at backend servers.
	refused  map[string]bool      // Requests whose answer says that they did not run.
	accepted map[string]time.Time // When each lot was accepted.
	seen     map[string][]string  // Results of each lot by position.
	served   int
}

func newJudge() *judge {
	return &judge{runs: map[string]int{}, refused: map[string]bool{}, accepted: map[string]time.Time{}, seen: map[string][]string{}}
}

func (j *judge) fault(f string, a ...any) { j.faults = append(j.faults, fmt.Sprintf(f, a...)) }

// ran notes that a backend server began to run a request.
func (j *judge) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

// events returns the series of events that request id has as its answer.
func events(id string) string {
	var b strings.Builder
	for n := range soakEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
	}
	return b.String()
}

// answered checks the answer to request id; whole says that it did not break off.
func (j *judge) answered(id string, status int, body string, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == 200 && whole:
		j.served++
		if body != events(id) {
			j.fault("request %s has the answer %q", id, body)
		}
	case status == 200 && !strings.HasPrefix(events(id), body):
		j.fault("request %s broke off after %q", id, body)
	case status == 429 || status == 503:
		j.refused[id] = true
	case status == 401 || status == 404:
		j.fault("request %s was answered %d", id, status)
	}
}

// taken notes that lot i was accepted.
func (j *judge) taken(i string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.accepted[i].IsZero() {
		j.accepted[i] = time.Now()
	}
}

// read checks an answer to a read of lot i from position n on, which was asked for at time t.
func (j *judge) read(i string, n int, t time.Time, status int, results []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if status == 404 && t.Sub(j.accepted[i]) > acceptedTime {
		j.fault("lot %s was accepted and is not found", i)
	}
	if status != 200 {
		return
	}
	for k, r := range results {
		switch p := n + k; {
		case p < len(j.seen[i]) && j.seen[i][p] != r:
			j.fault("lot %s: position %d held %q and holds %q", i, p, j.seen[i][p], r)
		case p == len(j.seen[i]):
			j.seen[i] = append(j.seen[i], r)
		}
	}
}

// end checks the whole soak: l are the results of each lot at its end.
func (j *judge) end(l map[string][]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.refused {
		if strings.HasPrefix(id, "once-") && j.runs[id] > 0 {
			j.fault("request %s was refused and ran", id)
		}
	}
	for id, n := range j.runs {
		if strings.HasPrefix(id, "once-") && n > 1 {
			j.fault("request %s ran %d times", id, n)
		}
	}
	for i := range j.accepted {
		j.whole(i, l[i])
	}
}

// whole checks the results of lot i at the end; the caller holds the lock.
func (j *judge) whole(i string, l []string) {
	if len(l) < len(j.seen[i]) {
		j.fault("lot %s: %d results were read, %d are left", i, len(j.seen[i]), len(l))
	}
	ids := map[string]int{}
	for _, r := range l {
		id, text, _ := strings.Cut(r, ": ")
		ids[id]++
		var want []string
		for n := range soakEvents {
			want = append(want, fmt.Sprintf("%s %d", id, n+1))
		}
		if text != strings.Join(want, "\n") {
			j.fault("lot %s: item %s has the text %q", i, id, text)
		}
	}
	for n := range soakItems {
		if x := ids[fmt.Sprint(i, "-", n)]; x != 1 {
			j.fault("lot %s: item %d stands at %d positions", i, n, x)
		}
	}
}

// TestJudge shows that each check of the soak can fail.
func TestJudge(t *testing.T) {
	result := func(i string, n int) string {
		id := fmt.Sprint(i, "-", n)
		var l []string
		for k := range soakEvents {
			l = append(l, fmt.Sprintf("%s %d", id, k+1))
		}
		return id + ": " + strings.Join(l, "\n")
	}
	var all []string
	for n := range soakItems {
		all = append(all, result("l", n))
	}
	for name, x := range map[string]struct {
		see  func(j *judge)
		end  []string
		want string // Part of the fault; empty for none.
	}{
		"all is well": {see: func(j *judge) {
			j.ran("once-1")
			j.answered("once-1", 200, events("once-1"), true)
			j.answered("once-2", 503, "", true)
			j.read("l", 0, time.Now(), 200, all[:2])
			j.read("l", 1, time.Now(), 200, all[1:3])
		}, end: all},
		"another answer":           {see: func(j *judge) { j.answered("a", 200, events("b"), true) }, end: all, want: "has the answer"},
		"an event is missing":      {see: func(j *judge) { j.answered("a", 200, events("a")[20:], true) }, end: all, want: "has the answer"},
		"foreign bytes, cut":       {see: func(j *judge) { j.answered("a", 200, "id: 2\n", false) }, end: all, want: "broke off after"},
		"a key is not known":       {see: func(j *judge) { j.answered("a", 401, "", true) }, end: all, want: "was answered 401"},
		"it ran twice":             {see: func(j *judge) { j.ran("once-1"); j.ran("once-1") }, end: all, want: "ran 2 times"},
		"a refused one ran":        {see: func(j *judge) { j.ran("once-1"); j.answered("once-1", 503, "", true) }, end: all, want: "was refused and ran"},
		"an accepted lot is gone":  {see: func(j *judge) { j.read("l", 0, time.Now().Add(time.Minute), 404, nil) }, end: all, want: "is not found"},
		"a position changes":       {see: func(j *judge) { j.read("l", 0, time.Now(), 200, all[:1]); j.read("l", 0, time.Now(), 200, all[1:2]) }, end: all, want: "position 0 held"},
		"a result is gone":         {see: func(j *judge) { j.read("l", 0, time.Now(), 200, all) }, end: all[:1], want: "are left"},
		"an item is not listed":    {see: func(*judge) {}, end: all[1:], want: "item 0 stands at 0 positions"},
		"an item is listed twice":  {see: func(*judge) {}, end: append(all[:len(all):len(all)], all[0]), want: "item 0 stands at 2 positions"},
		"an item has another text": {see: func(*judge) {}, end: append([]string{all[0] + "x"}, all[1:]...), want: "has the text"},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJudge()
			j.taken("l")
			x.see(j)
			j.end(map[string][]string{"l": x.end})
			f := strings.Join(j.faults, "; ")
			if (f == "") != (x.want == "") || !strings.Contains(f, x.want) {
				t.Errorf("faults: %q", f)
			}
		})
	}
}
