// Package head finds the end of the head of an HTTP/1.1 request and tells what the head costs once it is parsed.
//
// It answers heads of legal size made of very many short lines, each of which takes many times its bytes in a parsed head.
package head

import "bytes"

const (
	lineCost = 400 // Bytes of one header line, parsed, decoded and encoded for a backend server, beside its text.
	textCost = 4   // Copies of the text.
)

// Cost returns the memory for a head of b bytes in n lines.
func Cost(n, b int) int { return n*lineCost + b*textCost }

// place is where in a line a byte is.
type place uint8

const (
	within      = place(iota)
	lineStart   // After a line feed.
	afterReturn // After a carriage return that begins a line.
)

// Scanner reads a head in any number of parts. The head ends with its first empty line, as in net/http: a line feed, after at
// most one carriage return.
type Scanner struct {
	place place
	lines int
	bytes int // At least lines.
}

// Scan reads the next part of the head, and returns the number of bytes in it up to the head's end, or -1 if the head goes on.
func (s *Scanner) Scan(p []byte) int {
	for i := 0; i < len(p); {
		switch b := p[i]; {
		case b == '\n' && s.place != within:
			s.count(i + 1)
			return i + 1
		case b == '\n':
			s.place = lineStart
			s.lines++
			i++
		case b == '\r' && s.place == lineStart:
			s.place = afterReturn
			i++
		default:
			s.place = within
			n := bytes.IndexByte(p[i:], '\n')
			if n < 0 {
				n = len(p) - i
			}
			i += n
		}
	}
	s.count(len(p))
	return -1
}

func (s *Scanner) count(n int) { s.bytes += n }

// Reset begins the next head. The last bytes before it are those of p, which may have part of the head.
func (s *Scanner) Reset(p []byte) {
	*s = Scanner{}
	switch {
	case bytes.HasSuffix(p, []byte("\n")):
		s.place = lineStart
	case bytes.HasSuffix(p, []byte("\n\r")):
		s.place = afterReturn
	}
}

// Cost returns the memory for what was read of the head.
func (s *Scanner) Cost() int { return Cost(s.lines, s.bytes) }

// Bytes returns the number of bytes that were read of the head.
func (s *Scanner) Bytes() int { return s.bytes }
