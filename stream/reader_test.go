package stream

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

func TestNext(t *testing.T) {
	for name, x := range map[string]struct {
		in      string
		events  []string
		data    []string
		id      uint64
		unnamed bool // The last event has no identifier.
		err     error
		kind    bulrushlug.Kind // Kind of the error, in place of err.
	}{
		"a response's head":            {in: "id: 1\ndata: a\n\nHTTP/1.1 500 Failed\r\n\r\n", events: []string{"id: 1\ndata: a\n\n"}, data: []string{"a"}, id: 1, kind: bulrushlug.KindBroken},
		"a head in an event":           {in: "id: 1\ndata: a\n\nid: 2\nHTTP/1.1 500 Failed\r\n\r\n", events: []string{"id: 1\ndata: a\n\n"}, data: []string{"a"}, id: 1, kind: bulrushlug.KindBroken},
		"a head after a long line":     {in: "data: " + strings.Repeat("x", 10000) + "\nHTTP/1.0 500 Failed\r\n\r\n", kind: bulrushlug.KindBroken},
		"a head in the data":           {in: "id: 1\ndata: HTTP/1.1 500\ndata:HTTP/1.1\n\n", events: []string{"id: 1\ndata: HTTP/1.1 500\ndata:HTTP/1.1\n\n"}, data: []string{"HTTP/1.1 500", "HTTP/1.1"}, id: 1, err: io.EOF},
		"a head after blank lines":     {in: "\n\nHTTP/1.1 500\n\n", kind: bulrushlug.KindBroken},
		"nothing":                      {err: io.EOF},
		"without an identifier":        {in: "id: 1\ndata: a\n\ndata: b\n\n", events: []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, data: []string{"b"}, id: 1, unnamed: true, err: io.EOF},
		"one event":                    {in: "id: 1\ndata: a\n\n", events: []string{"id: 1\ndata: a\n\n"}, data: []string{"a"}, id: 1, err: io.EOF},
		"several lines":                {in: "id:2\ndata:a\ndata: b\n\n", events: []string{"id:2\ndata:a\ndata: b\n\n"}, data: []string{"a", "b"}, id: 2, err: io.EOF},
		"carriage returns":             {in: "id: 3\r\ndata: a\r\n\r\n", events: []string{"id: 3\r\ndata: a\r\n\r\n"}, data: []string{"a"}, id: 3, err: io.EOF},
		"an incomplete event":          {in: "id: 1\ndata: a\n\nid: 2\nda", events: []string{"id: 1\ndata: a\n\n"}, data: []string{"a"}, id: 1, err: io.ErrUnexpectedEOF},
		"a missing blank line":         {in: "id: 1\ndata: a\n", err: io.ErrUnexpectedEOF},
		"an unknown field":             {in: "x-version: 2\nid: 4\ndata: a\n\n", events: []string{"x-version: 2\nid: 4\ndata: a\n\n"}, data: []string{"a"}, id: 4, err: io.EOF},
		"blank lines between":          {in: "\n\nid: 1\ndata: a\n\n", events: []string{"id: 1\ndata: a\n\n"}, data: []string{"a"}, id: 1, err: io.EOF},
		"a line as long as the buffer": {in: "id: 1\ndata: " + strings.Repeat("x", 4090) + "\ndata: b\n\nid: 2\ndata: c\n\n", events: []string{"id: 1\ndata: " + strings.Repeat("x", 4090) + "\ndata: b\n\n", "id: 2\ndata: c\n\n"}, data: []string{"c"}, id: 2, err: io.EOF},
		"a carriage return at its end": {in: "id: 1\ndata: " + strings.Repeat("x", 8186) + "\r\ndata: b\r\n\r\n", events: []string{"id: 1\ndata: " + strings.Repeat("x", 8186) + "\r\ndata: b\r\n\r\n"}, data: []string{strings.Repeat("x", 8186), "b"}, id: 1, err: io.EOF},
		"a long event":                 {in: "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n", events: []string{"id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n"}, data: []string{strings.Repeat("x", 10000)}, id: 1, err: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			for how, in := range map[string]io.Reader{
				"at once":      strings.NewReader(x.in),
				"byte by byte": iotest.OneByteReader(strings.NewReader(x.in)),
			} {
				r := New(in, memory.New(1<<30))
				var got, data []string
				var err error
				named := false
				for err == nil {
					var e []byte
					if e, err = r.Next(); err == nil {
						got = append(got, string(e))
						data, named = slices.Clone(r.Data()), r.Identified()
					}
				}
				if x.err != nil && !errors.Is(err, x.err) || x.err == nil && bulrushlug.KindOf(err) != x.kind || !slices.Equal(got, x.events) {
					t.Errorf("%s: events %q, %v", how, got, err)
				}
				if id, _ := r.ID(); id != x.id || len(x.events) > 0 && !slices.Equal(data, x.data) {
					t.Errorf("%s: event %d with %q", how, id, data)
				}
				if named != (len(x.events) > 0 && !x.unnamed) {
					t.Errorf("%s: the last event has an identifier: %v", how, named)
				}
			}
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := New(strings.NewReader(s), memory.New(1<<30))
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if !strings.Contains(s, string(e)) {
				t.Fatalf("event %q is not in the stream", e)
			}
		}
	})
}
