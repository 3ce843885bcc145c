// Package trace finds in the logs of several processes what happened to one request or lot, and what the processes knew
// at the time.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxLineBytes = 1 << 20
	// around is the time before the first and after the last line of a trace in which the lines of its processes about
	// themselves belong to it.
	around = 2 * time.Second
	layout = "15:04:05.000"
)

// viewEvents are the events that say what a process knew from then on.
var viewEvents = map[string]bool{"start": true, "storeLost": true, "storeBack": true, "manifest": true, "servers": true, "leave": true, "retire": true}

// Trace holds the lines of the logs, in the order in which they are read.
type Trace struct {
	lines []line
	bad   int // Lines that are not in the format of the logs.
}

// line is one line of a log.
type line struct {
	at     time.Time
	vm     string
	event  string
	names  []string // The other fields, in the order of the line.
	values []string
}

// Read adds the log r of one or more processes. What a line has before its field ts is skipped.
func (t *Trace) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			t.bad++
			continue
		}
		t.lines = append(t.lines, l)
	}
	if err := s.Err(); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, "log", err)
	}
	return nil
}

// parse parses one line; ok is false if it has no time, process or event.
func parse(b []byte) (l line, ok bool) {
	i := bytes.Index(b, []byte("ts="))
	if i < 0 {
		return l, false
	}
	d := logfmt.NewDecoder(bytes.NewReader(b[i:]))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		switch k, v := string(d.Key()), string(d.Value()); k {
		case "ts":
			l.at, _ = time.Parse(time.RFC3339Nano, v)
		case "vm":
			l.vm = v
		case "event":
			l.event = v
		default:
			l.names, l.values = append(l.names, k), append(l.values, v)
		}
	}
	return l, d.Err() == nil && !l.at.IsZero() && l.vm != "" && l.event != ""
}

// has reports whether a field of l has one of the values in m.
func (l line) has(m map[string]bool) bool {
	return slices.ContainsFunc(l.values, func(v string) bool { return m[v] })
}

// field returns the value of field n; empty if there is none.
func (l line) field(n string) string {
	if i := slices.Index(l.names, n); i >= 0 {
		return l.values[i]
	}
	return ""
}

// text returns the event and the fields of l that are set.
func (l line) text() string {
	b := &strings.Builder{}
	b.WriteString(l.event)
	for i, n := range l.names {
		v := l.values[i]
		if strings.ContainsAny(v, " \"=") {
			v = fmt.Sprintf("%q", v)
		}
		if v != "" {
			fmt.Fprintf(b, " %s=%s", n, v)
		}
	}
	return b.String()
}

// Write writes the time line of the request or lot id to w: the lines that name it, or a request of that lot; what their
// processes knew before, with its age; and what these learned meanwhile. It fails with KindNotFound if no line names id.
func (t *Trace) Write(w io.Writer, id string) error {
	ids := map[string]bool{id: true}
	for _, l := range t.lines {
		if r := l.field("request"); r != "" && l.field("lot") == id {
			ids[r] = true
		}
	}
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var first, last time.Time
	vms := map[string]bool{}
	n := 0
	for _, l := range t.lines {
		if !l.has(ids) {
			continue
		}
		if n == 0 {
			first = l.at
		}
		last, vms[l.vm] = l.at, true
		n++
	}
	if n == 0 {
		return bulrushlug.Errorf(bulrushlug.KindNotFound, "no line of %d names %s (%d lines are not in the format of the logs)", len(t.lines), id, t.bad)
	}
	b := bufio.NewWriter(w)
	fmt.Fprintf(b, "%s: %d lines of %d processes in %v, from %s\n", id, n, len(vms), last.Sub(first).Round(time.Millisecond), first.UTC().Format(layout))
	t.writeViews(b, vms, first)
	for _, l := range t.lines {
		if named := l.has(ids); named || vms[l.vm] && l.concerns(first, last) {
			mark := " "
			if named {
				mark = "*"
			}
			fmt.Fprintf(b, "%s %+9.3f  %s  %s\n", mark, l.at.Sub(first).Seconds(), l.vm, l.text())
		}
	}
	return b.Flush()
}

// concerns reports whether l is about its process itself and close to the time from first to last.
func (l line) concerns(first, last time.Time) bool {
	own := l.field("request") == "" && l.field("lot") == ""
	return own && l.at.After(first.Add(-around)) && l.at.Before(last.Add(around))
}

// writeViews writes what the processes vms knew at the given time: the last line of each kind before it.
func (t *Trace) writeViews(w io.Writer, vms map[string]bool, at time.Time) {
	views := map[string]line{}
	var order []string
	for _, l := range t.lines {
		k := l.vm + " " + l.event
		if !vms[l.vm] || !viewEvents[l.event] || !l.at.Before(at.Add(-around)) {
			continue
		}
		if _, ok := views[k]; !ok {
			order = append(order, k)
		}
		views[k] = l
	}
	slices.Sort(order)
	for _, k := range order {
		l := views[k]
		fmt.Fprintf(w, "  %9s  %s  %s (%v old)\n", "before", l.vm, l.text(), at.Sub(l.at).Round(time.Millisecond))
	}
}
