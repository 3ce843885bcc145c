package head

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestScan(t *testing.T) {
	const line = "GET / HTTP/1.1\r\n"
	for name, x := range map[string]struct {
		before, head string
		end, lines   int // An end of -1: the head goes on.
	}{
		"nothing":                       {end: -1},
		"a line":                        {head: line, end: -1, lines: 1},
		"a whole head":                  {head: line + "Host: h\r\n\r\n", end: 27, lines: 2},
		"a body after it":               {head: line + "Host: h\r\n\r\nbody\r\n\r\n", end: 27, lines: 2},
		"bare line feeds":               {head: "GET / HTTP/1.1\na: b\n\n", end: 21, lines: 2},
		"short lines":                   {head: line + "a:\r\nb:\r\n\r\n", end: 26, lines: 3},
		"a return within a line":        {head: line + "a: \r b\r\n", end: -1, lines: 2},
		"two returns":                   {head: line + "\r\r\n", end: -1, lines: 2},
		"a blank":                       {head: line + " \r\n", end: -1, lines: 2},
		"the rest of a head":            {before: line, head: "\r\n", end: 2},
		"the rest of an end":            {before: line + "\r", head: "\n", end: 1},
		"after a body that ends a line": {before: "body\n", head: line, end: -1, lines: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(x.head)+1; size++ { // Bytes of each part.
				s := &Scanner{}
				s.Reset([]byte(x.before))
				end := -1
				for i := 0; i < len(x.head) && end < 0; i += size {
					if n := s.Scan([]byte(x.head[i:min(i+size, len(x.head))])); n >= 0 {
						end = i + n
					}
				}
				want := len(x.head)
				if x.end >= 0 {
					want = x.end
				}
				if end != x.end || s.lines != x.lines || s.Bytes() != want {
					t.Errorf("parts of %d bytes: end %d, %d lines, %d bytes", size, end, s.lines, s.Bytes())
				}
			}
		})
	}
}

// FuzzScan compares the end of a head with that of net/http, which reads no further.
func FuzzScan(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", 3)
	f.Add("GET / HTTP/1.1\nHost: h\n continued\n\nrest", 1)
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\na:\r\r\n\r\n1\r\nx\r\n0\r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, h string, size int) {
		size = max(1, size)
		s := &Scanner{}
		end := -1
		for i := 0; i < len(h) && end < 0; i += min(size, len(h)-i) {
			if n := s.Scan([]byte(h)[i:min(len(h), i+min(size, len(h)-i))]); n >= 0 {
				end = i + n
			}
		}
		if s.lines > s.bytes || s.bytes > len(h) {
			t.Fatalf("%d lines, %d of %d bytes", s.lines, s.bytes, len(h))
		}
		in := strings.NewReader(h)
		b := bufio.NewReaderSize(in, len(h)+16)
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		if left := b.Buffered() + in.Len(); end != len(h)-left {
			t.Errorf("the head of %q ends at %d, net/http read %d", h, end, len(h)-left)
		}
	})
}

// BenchmarkScan reads the head of an ordinary request.
func BenchmarkScan(b *testing.B) {
	h := []byte("POST /ask/x HTTP/1.1\r\n" + strings.Repeat("X-Name-Of-A-Header: its value, of some length\r\n", 12) + "\r\n")
	for b.Loop() {
		s := Scanner{}
		if s.Scan(h) != len(h) {
			b.Fatal(bytes.TrimSpace(h))
		}
	}
}
