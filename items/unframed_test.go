package items

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// answer is how a server answers one run of an item.
type answer struct {
	to     uint64 // Last event that it sends.
	first  uint64 // First event that it sends; zero for the one after which the run resumes.
	framed bool
	half   bool  // Half of the next event follows.
	err    error // There is no response.
	ends   bool  // The server ends as it ends the response.
}

// scriptedServer is a client whose server answers the runs of an item one after the other, and a detector that knows whether it
// has ended.
type scriptedServer struct {
	noDetector
	mu      sync.Mutex
	answers []answer
	resumed []uint64 // Event after which each run resumed.
}

func (v *scriptedServer) last() answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers[min(len(v.resumed), len(v.answers))-1]
}

func (v *scriptedServer) RecordBroken(context.Context, bulrushlug.Backend, bulrushlug.Prompt) bool {
	return v.last().ends
}
func (v *scriptedServer) RecordEnded(context.Context, bulrushlug.Backend) bool { return v.last().ends }

func (v *scriptedServer) Call(_ context.Context, _ bulrushlug.Backend, q *bulrushlug.Request) (bulrushlug.Reply, error) {
	v.mu.Lock()
	v.resumed = append(v.resumed, q.ResumeFrom())
	v.mu.Unlock()
	x := v.last()
	if x.err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, "no response", x.err)
	}
	first := x.first
	if first == 0 {
		first = q.ResumeFrom() + 1
	}
	p, w := io.Pipe()
	go func() {
		for n := first; n <= x.to; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		}
		if x.half {
			_, _ = io.WriteString(w, "id: 8\nda")
		}
		_ = w.Close()
	}()
	return &run{status: statusOK, contentType: eventStream, unframed: !x.framed, PipeReader: p}, nil
}

// TestUnframedEnd guards against an item that is listed with a part of its text, as its server crashed while it sent a response
// that doesn't say where it ends.
func TestUnframedEnd(t *testing.T) {
	const crash = 7 // Event after which servers end.
	closed, reset := io.ErrUnexpectedEOF, errors.New("connection reset")
	all, none := answer{to: eventCount}, answer{}
	for name, x := range map[string]struct {
		answers []answer
		resumed []uint64
	}{
		"framed":                     {answers: []answer{{to: eventCount, framed: true}}, resumed: []uint64{0}},
		"unframed":                   {answers: []answer{all, none}, resumed: []uint64{0, eventCount}},
		"the next one is framed":     {answers: []answer{all, {framed: true}}, resumed: []uint64{0, eventCount}},
		"a crash":                    {answers: []answer{{to: crash, ends: true}, all, none}, resumed: []uint64{0, crash, eventCount}},
		"a crash, then framed":       {answers: []answer{{to: crash, ends: true}, {to: eventCount, framed: true}}, resumed: []uint64{0, crash}},
		"a crash that nobody notes":  {answers: []answer{{to: crash}, all, none}, resumed: []uint64{0, crash, eventCount}},
		"after the first event":      {answers: []answer{{to: 1, ends: true}, all, none}, resumed: []uint64{0, 1, eventCount}},
		"before the first event":     {answers: []answer{{ends: true}, all, none}, resumed: []uint64{0, 0, eventCount}},
		"two crashes":                {answers: []answer{{to: crash, ends: true}, {ends: true}, all, none}, resumed: []uint64{0, crash, crash, eventCount}},
		"two, one without response":  {answers: []answer{{to: crash, ends: true}, {err: closed, ends: true}, all, none}, resumed: []uint64{0, crash, crash, eventCount}},
		"four, without response":     {answers: append(slices.Repeat([]answer{{to: crash, err: closed, ends: true}}, 4), all, none), resumed: []uint64{0, 0, 0, 0, 0, eventCount}},
		"closed without a response":  {answers: []answer{all, {err: closed}}, resumed: slices.Concat([]uint64{0}, slices.Repeat([]uint64{eventCount}, maxEmptyRuns))},
		"from the first event":       {answers: []answer{all, {to: eventCount, first: 1}}, resumed: slices.Concat([]uint64{0}, slices.Repeat([]uint64{eventCount}, maxEmptyRuns))},
		"a crash, closed twice":      {answers: []answer{{to: crash, ends: true}, {err: closed}, {err: closed}, all, none}, resumed: []uint64{0, crash, crash, crash, eventCount}},
		"a crash, then reset":        {answers: slices.Concat([]answer{{to: crash, ends: true}}, slices.Repeat([]answer{{err: reset}}, 4), []answer{all, none}), resumed: []uint64{0, crash, crash, crash, crash, crash, eventCount}},
		"a crash, then half events":  {answers: slices.Concat([]answer{{to: crash, ends: true}}, slices.Repeat([]answer{{half: true}}, 4), []answer{all, none}), resumed: []uint64{0, crash, crash, crash, crash, crash, eventCount}},
		"closed, with framed events": {answers: slices.Concat([]answer{{to: crash, framed: true, half: true}}, slices.Repeat([]answer{{err: closed}}, 4), []answer{all, none}), resumed: []uint64{0, crash, crash, crash, crash, crash, eventCount}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				v := &scriptedServer{answers: x.answers}
				s := newSystemWith(c, nil, v)
				s.runner.client = v
				if err := s.submit(c, 1); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				if got := s.listed(t)["i0"]; got != whole() {
					t.Errorf("the text is %q", strings.ReplaceAll(got, "\n", " "))
				}
				if !slices.Equal(v.resumed, x.resumed) {
					t.Errorf("runs resumed after %v", v.resumed)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
