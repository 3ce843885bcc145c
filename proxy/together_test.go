package proxy

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// parts is a response that arrives in parts, and breaks off or ends after the last one.
type parts struct {
	left []string
	err  error
}

func (p *parts) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, p.err
	}
	n := copy(b, p.left[0])
	if p.left[0] = p.left[0][n:]; p.left[0] == "" {
		p.left = p.left[1:]
	}
	return n, nil
}

// counter counts the parts in which a caller gets a response.
type counter struct {
	caller
	writes int
}

func (k *counter) Write(p []byte) error {
	k.writes++
	return k.caller.Write(p)
}

// TestEventsTogether guards against one system call for each of many small events that arrive together, and against
// events that are held although no more has arrived.
func TestEventsTogether(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }
	events := func(n int) (l []string) {
		for i := range n {
			l = append(l, event(i+1))
		}
		return l
	}
	reset := errors.New("connection reset")
	for name, x := range map[string]struct {
		in     []string
		err    error
		events int
		writes int // Most parts in which they reach the caller.
	}{
		"one by one":                   {in: events(5), err: io.EOF, events: 5, writes: 5},
		"together":                     {in: []string{strings.Join(events(100), "")}, err: io.EOF, events: 100, writes: 1},
		"more than is held":            {in: []string{strings.Join(events(1000), "")}, err: io.EOF, events: 1000, writes: 10},
		"broken after some":            {in: []string{strings.Join(events(3), "")}, err: reset, events: 3, writes: 1},
		"half an event at the end":     {in: []string{strings.Join(events(3), "") + "id: 4\nda"}, err: reset, events: 3, writes: 1},
		"an event missing":             {in: []string{event(1) + event(2) + event(4)}, err: io.EOF, events: 2, writes: 1},
		"a comment, then a pause":      {in: []string{event(1) + ": wait\n\n", event(2)}, err: io.EOF, events: 3, writes: 3},
		"blank lines, then a pause":    {in: []string{event(1) + "\n\n\n", event(2)}, err: io.EOF, events: 2, writes: 2},
		"with carriage returns":        {in: []string{strings.ReplaceAll(event(1)+event(2), "\n", "\r\n")}, err: io.EOF, events: 2, writes: 1},
		"the second one in two pieces": {in: []string{event(1) + "id: 2\n", "data: 2\n\n"}, err: io.EOF, events: 2, writes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			k := &counter{}
			a := &exchange{Stage: New(table(), nil, noRecorder{}, nil, noDetector{}, memory.New(1<<20)), request: bulrushlug.NewRequest("q"), sink: &sink{sink: k}}
			w := newWatchdog(0, func() {})
			_, _ = a.forwardEvents(&started{Reply: &reply{status: 200, contentType: eventStream, in: &parts{left: x.in, err: x.err}}}, &relief{}, w)
			if n := strings.Count(strings.ReplaceAll(k.data, "\r", ""), "\n\n"); n != x.events || k.writes > x.writes {
				t.Errorf("%d events in %d parts, want %d in at most %d", n, k.writes, x.events, x.writes)
			}
		})
	}
}
