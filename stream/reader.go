// Package stream reads server-sent events.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"bulrushlug.dev/bulrushlug"
)

// maxEvent is the largest event that is read, in bytes.
const maxEvent = 1 << 20

// Reader splits an answer into whole events.
type Reader struct {
	in    *bufio.Reader
	event bytes.Buffer // Lines of the event that is not whole yet.
	id    uint64       // Identifier of the last whole event that had one.
	ids   bool         // At least one event had an identifier.
	data  []string     // Data lines of the last whole event.
}

// New returns a reader of r.
func New(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 4096)} }

// Next returns the next whole event with its closing blank line; io.EOF means that the answer ended between events.
func (r *Reader) Next() ([]byte, error) {
	r.event.Reset()
	r.data = r.data[:0]
	for {
		l, err := r.in.ReadSlice('\n')
		r.event.Write(l)
		if r.event.Len() > maxEvent {
			return nil, bulrushlug.Errorf(bulrushlug.KindBroken, "an event is larger than %d bytes", maxEvent)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && r.event.Len() > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if n := len(l); n == 1 || n == 2 && l[0] == '\r' {
			if r.event.Len() == n {
				r.event.Reset()
				continue
			}
			r.parse()
			return r.event.Bytes(), nil
		}
	}
}

// parse notes the fields of the event that is whole.
func (r *Reader) parse() {
	for l := range strings.Lines(r.event.String()) {
		l = strings.TrimRight(l, "\r\n")
		n, v, _ := strings.Cut(l, ":")
		v = strings.TrimPrefix(v, " ")
		switch n {
		case "id":
			if x, err := strconv.ParseUint(v, 10, 64); err == nil {
				r.id, r.ids = x, true
			}
		case "data":
			r.data = append(r.data, v)
		}
	}
}

// ID returns the identifier of the last whole event that had one.
func (r *Reader) ID() (uint64, bool) { return r.id, r.ids }

// Data returns the data lines of the last event.
func (r *Reader) Data() []string { return r.data }
