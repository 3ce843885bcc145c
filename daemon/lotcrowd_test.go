package daemon

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// lotCrowd is a number of lots that are submitted faster than they are deleted.
type lotCrowd struct {
	size    int
	lot     func(id string) string // The body of a submission.
	invalid bool                   // No such lot is accepted, as an item's fields are larger than the head of a request may be.
}

// oneItem returns the body of a lot with one item, which has the given fields and bytes.
func oneItem(id, fields string, body []byte) string {
	return fmt.Sprintf(`{"items":[{"id":"%s-0","path":"/ask/x","headers":{%s},"body":%q,"tokenCount":1}]}`, id, fields, base64.StdEncoding.EncodeToString(body))
}

// lotCrowds are the crowds of lots by what they consist of.
var lotCrowds = map[string]lotCrowd{
	"large bodies": {size: 150, lot: func(id string) string { return oneItem(id, "", []byte(letters(700<<10))) }},
	"many items":   {size: 400, lot: func(id string) string { return lotBody(id, 200) }},
	"many fields": {size: 60, invalid: true, lot: func(id string) string {
		return oneItem(id, `"X-Model":"m"`+fill(800<<10, func(i int) string { return fmt.Sprintf(`,"x-%x":""`, i) }), nil)
	}},
	"many fields in many items": {size: 60, lot: func(id string) string {
		f := fill(13<<10, func(i int) string { return fmt.Sprintf(`,"x-%x":""`, i) })
		var l []string
		for i := range 60 {
			l = append(l, fmt.Sprintf(`{"id":"%s-%d","path":"/ask/x","headers":{"X-Model":"m"%s},"body":"","tokenCount":1}`, id, i, f))
		}
		return `{"items":[` + strings.Join(l, ",") + `]}`
	}},
	"small lots": {size: 700, lot: func(id string) string { return lotBody(id, 1) }},
}

// submitCrowd submits the lots of x, a few at a time, and returns those that were accepted.
func (s *floodSystem) submitCrowd(x lotCrowd) (accepted []string) {
	var mu sync.Mutex
	var w sync.WaitGroup
	var next atomic.Int64
	for range 6 {
		w.Go(func() {
			for i := next.Add(1); i <= int64(x.size); i = next.Add(1) {
				id := fmt.Sprint("crowd", i)
				if n, _ := s.call(s.t.Context(), "POST", "/in/l", id, x.lot(id)); n == http.StatusAccepted {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	w.Wait()
	return accepted
}

// takesLots reports whether a lot is accepted, as by a caller that asks again after a refusal: the processes have to know each
// other.
func (s *floodSystem) takesLots() bool {
	for begun := time.Now(); time.Since(begun) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		if n, _ := s.call(s.t.Context(), "POST", "/in/l", "first", lotBody("first", 1)); n == http.StatusAccepted {
			return true
		}
	}
	return false
}

// readable reports whether lot id can be read, as a caller does that asks again after a refusal.
func (s *floodSystem) readable(id string) bool {
	for begun := time.Now(); time.Since(begun) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		n, b := s.call(s.t.Context(), "GET", "/lots/"+id+"?after=0", "read", "")
		if n == http.StatusOK && gjson.Get(b, "total").Int() > 0 {
			return true
		}
		if n == http.StatusNotFound {
			return false
		}
	}
	return false
}

// TestCrowdsOfLots guards against a data process that accepts more lots than its VM has memory or descriptors for. What it
// accepts it keeps.
func TestCrowdsOfLots(t *testing.T) {
	binary := buildProgram(t)
	for name, x := range lotCrowds {
		t.Run(name, func(t *testing.T) {
			s := newFloodSystem(t, binary, floods["large events"], "", lowLimits.settings())
			if !s.takesLots() {
				t.Fatal("a lot is not accepted before the crowd")
			}
			accepted := s.submitCrowd(x)
			if (len(accepted) == 0) != x.invalid {
				t.Errorf("%d lots are accepted", len(accepted))
			}
			if !s.served(t.Context()) {
				t.Error("an ordinary request is not answered")
			}
			for _, id := range accepted {
				if !s.readable(id) {
					t.Errorf("lot %s was accepted and can't be read", id)
					break
				}
			}
			for _, vm := range []string{"d0", "d1"} {
				peak, n := s.peak(vm), s.descriptors(vm)
				t.Logf("%d of %d lots; %s: %d MB at most, %d descriptors", len(accepted), x.size, vm, peak>>20, n)
				if peak > lowLimits.megabytes<<20 {
					t.Errorf("%s had %d MB, its VM has %d MB", vm, peak>>20, lowLimits.megabytes)
				}
				if n > lowLimits.descriptors {
					t.Errorf("%s has %d descriptors, its VM has %d", vm, n, lowLimits.descriptors)
				}
			}
		})
	}
}
