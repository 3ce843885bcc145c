package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// leavingBound is the time after an answer that says that its server is leaving in which requests that were sent to the
// same entry may still reach that server.
const leavingBound = 2 * time.Second

// sentRequest is a request of a caller.
type sentRequest struct {
	entry int
	at    time.Time
}

// toldBy is an entry that passed on that one run of a server is leaving.
type toldBy struct {
	entry int
	run   string
}

// acceptedVisibleTime is the time after the acceptance of a lot within which it must become visible at every entry.
const acceptedVisibleTime = time.Second

// oracle checks the observations of callers and backend servers in a soak; it shares no code with the system under test.
type oracle struct {
	mu         sync.Mutex
	violations []string
	runs       map[string]int       // Number of runs of each request on backend servers.
	rejected   map[string]bool      // Requests that were rejected with a status that promises they did not run.
	accepted   map[string]time.Time // Time at which each lot was first accepted.
	seen       map[string][]string  // Results of each lot read so far, by position.
	sent       map[string]sentRequest
	told       map[toldBy]time.Time // Time of the first answer that said so.
	answers    int                  // Answers that said that their server is leaving.
	served     int
}

func newOracle() *oracle {
	return &oracle{runs: map[string]int{}, rejected: map[string]bool{}, accepted: map[string]time.Time{}, seen: map[string][]string{},
		sent: map[string]sentRequest{}, told: map[toldBy]time.Time{}}
}

func (j *oracle) addViolation(f string, a ...any) {
	j.violations = append(j.violations, fmt.Sprintf(f, a...))
}

// recordRun records that a run of a backend server started to run a request.
func (j *oracle) recordRun(id, run string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
	q := j.sent[id]
	if t, ok := j.told[toldBy{q.entry, run}]; ok && q.at.Sub(t) > leavingBound {
		j.addViolation("request %s reached %s, %v after entry %d had passed on that it is leaving", id, run, q.at.Sub(t), q.entry)
	}
}

// recordSent records that a caller sends request id to an entry.
func (j *oracle) recordSent(id string, entry int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[id] = sentRequest{entry, time.Now()}
}

// recordLeaving records that an entry passed on an answer which says that a run of a backend server is leaving.
func (j *oracle) recordLeaving(run string, entry int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers++
	if k := (toldBy{entry, run}); j.told[k].IsZero() {
		j.told[k] = time.Now()
	}
}

// excuse forgets what an entry passed on, as it was restarted or frozen.
func (j *oracle) excuse(entry int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for k := range j.told {
		if k.entry == entry {
			delete(j.told, k)
		}
	}
}

// responseBody returns the stream of events that is the correct response to request id.
func responseBody(id string) string {
	var b strings.Builder
	for n := range soakEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
	}
	return b.String()
}

// checkResponse checks the response to request id; complete is false if it was cut off.
func (j *oracle) checkResponse(id string, status int, body string, complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == 200 && complete:
		j.served++
		if body != responseBody(id) {
			j.addViolation("request %s: wrong response %q", id, body)
		}
	case status == 200 && !strings.HasPrefix(responseBody(id), body):
		j.addViolation("request %s: response was cut off after foreign bytes %q", id, body)
	case status == 429 || status == 503:
		j.rejected[id] = true
	case status == 401 || status == 404:
		j.addViolation("request %s: unexpected status %d", id, status)
	}
}

// checkAnswered checks that request id has an answer; complete is false if it was cut off, or if there is none. A request that no
// server has run may have crossed the end of its connection.
func (j *oracle) checkAnswered(id string, status int, complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !complete && j.runs[id] > 0 || status > 500 && status != 503 {
		j.addViolation("request %s: status %d, complete %v, after %d runs", id, status, complete, j.runs[id])
	}
}

// recordAccepted records that lot i was accepted.
func (j *oracle) recordAccepted(i string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.accepted[i].IsZero() {
		j.accepted[i] = time.Now()
	}
}

// checkRead checks the response to a read of lot i from position n onwards that was sent at time t.
func (j *oracle) checkRead(i string, n int, t time.Time, status int, results []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if status == 404 && t.Sub(j.accepted[i]) > acceptedVisibleTime {
		j.addViolation("lot %s was accepted but is not found", i)
	}
	if status != 200 {
		return
	}
	for k, r := range results {
		switch p := n + k; {
		case p < len(j.seen[i]) && j.seen[i][p] != r:
			j.addViolation("lot %s: result at position %d changed from %q to %q", i, p, j.seen[i][p], r)
		case p == len(j.seen[i]):
			j.seen[i] = append(j.seen[i], r)
		}
	}
}

// checkFinal checks the soak as a whole; l holds the final results of each lot.
func (j *oracle) checkFinal(l map[string][]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.rejected {
		if strings.HasPrefix(id, "once-") && j.runs[id] > 0 {
			j.addViolation("request %s was rejected but ran", id)
		}
	}
	for id, n := range j.runs {
		if strings.HasPrefix(id, "once-") && n > 1 {
			j.addViolation("request %s ran %d times", id, n)
		}
	}
	for i := range j.accepted {
		j.checkLotResults(i, l[i])
	}
}

// checkLotResults checks the final results of lot i; the caller holds the lock.
func (j *oracle) checkLotResults(i string, l []string) {
	if len(l) < len(j.seen[i]) {
		j.addViolation("lot %s: %d results were read, but only %d remain", i, len(j.seen[i]), len(l))
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
			j.addViolation("lot %s: item %s has the wrong text %q", i, id, text)
		}
	}
	for n := range soakItems {
		if x := ids[fmt.Sprint(i, "-", n)]; x != 1 {
			j.addViolation("lot %s: item %d is listed %d times", i, n, x)
		}
	}
}

// leave has an entry pass on that run b0-1 of a server is leaving, and a request that is sent to another one later reach
// the given run.
func leave(j *oracle, teller, entry int, run string) {
	j.recordLeaving("b0-1", teller)
	j.sent["a"] = sentRequest{entry, time.Now().Add(leavingBound + time.Millisecond)}
	j.recordRun("a", run)
}

// TestOracle checks that the oracle detects each kind of violation.
func TestOracle(t *testing.T) {
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
		observe func(j *oracle)
		final   []string // Final results of lot l.
		want    string   // Part of the violation; empty for none.
	}{
		"no violation": {observe: func(j *oracle) {
			j.recordRun("once-1", "b0-1")
			j.checkResponse("once-1", 200, responseBody("once-1"), true)
			j.checkResponse("once-2", 503, "", true)
			j.checkRead("l", 0, time.Now(), 200, all[:2])
			j.checkRead("l", 1, time.Now(), 200, all[1:3])
		}, final: all},
		"a request without an answer": {observe: func(j *oracle) { j.recordRun("a", "b0-1"); j.checkAnswered("a", 0, false) }, final: all, want: "after 1 runs"},
		"a request that crossed":      {observe: func(j *oracle) { j.checkAnswered("a", 0, false) }, final: all},
		"a wrong response":            {observe: func(j *oracle) { j.checkResponse("a", 200, responseBody("b"), true) }, final: all, want: "wrong response"},
		"an event is missing":         {observe: func(j *oracle) { j.checkResponse("a", 200, responseBody("a")[20:], true) }, final: all, want: "wrong response"},
		"cut off after foreign bytes": {observe: func(j *oracle) { j.checkResponse("a", 200, "id: 2\n", false) }, final: all, want: "cut off after foreign bytes"},
		"a valid API key is rejected": {observe: func(j *oracle) { j.checkResponse("a", 401, "", true) }, final: all, want: "unexpected status 401"},
		"a request ran twice":         {observe: func(j *oracle) { j.recordRun("once-1", "b0-1"); j.recordRun("once-1", "b0-1") }, final: all, want: "ran 2 times"},
		"a rejected request ran":      {observe: func(j *oracle) { j.recordRun("once-1", "b0-1"); j.checkResponse("once-1", 503, "", true) }, final: all, want: "was rejected but ran"},
		"an accepted lot is gone":     {observe: func(j *oracle) { j.checkRead("l", 0, time.Now().Add(time.Minute), 404, nil) }, final: all, want: "is not found"},
		"a result changes": {observe: func(j *oracle) {
			j.checkRead("l", 0, time.Now(), 200, all[:1])
			j.checkRead("l", 0, time.Now(), 200, all[1:2])
		}, final: all, want: "result at position 0 changed"},
		"a result is gone":                   {observe: func(j *oracle) { j.checkRead("l", 0, time.Now(), 200, all) }, final: all[:1], want: "remain"},
		"an item is not listed":              {observe: func(*oracle) {}, final: all[1:], want: "item 0 is listed 0 times"},
		"an item is listed twice":            {observe: func(*oracle) {}, final: append(all[:len(all):len(all)], all[0]), want: "item 0 is listed 2 times"},
		"an item has another text":           {observe: func(*oracle) {}, final: append([]string{all[0] + "x"}, all[1:]...), want: "has the wrong text"},
		"a request reaches a leaving server": {observe: func(j *oracle) { leave(j, 1, 1, "b0-1") }, final: all, want: "reached b0-1"},
		"a request is sent before the answer": {observe: func(j *oracle) {
			j.recordSent("a", 1)
			j.recordLeaving("b0-1", 1)
			j.recordRun("a", "b0-1")
		}, final: all},
		"a request reaches the server by another entry": {observe: func(j *oracle) { leave(j, 1, 2, "b0-1") }, final: all},
		"a request reaches another run of the server":   {observe: func(j *oracle) { leave(j, 1, 1, "b0-2") }, final: all},
		"a request reaches it by an entry that restarts": {observe: func(j *oracle) {
			j.recordLeaving("b0-1", 1)
			j.excuse(1)
			j.sent["a"] = sentRequest{1, time.Now().Add(leavingBound + time.Millisecond)}
			j.recordRun("a", "b0-1")
		}, final: all},
	} {
		t.Run(name, func(t *testing.T) {
			j := newOracle()
			j.recordAccepted("l")
			x.observe(j)
			j.checkFinal(map[string][]string{"l": x.final})
			f := strings.Join(j.violations, "; ")
			if (f == "") != (x.want == "") || !strings.Contains(f, x.want) {
				t.Errorf("violations: %q", f)
			}
		})
	}
}
