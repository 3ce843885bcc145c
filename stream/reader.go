// Package stream reads streams of server-sent events.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

const (
	maxEventBytes = 1 << 20 // Largest size of one event.
	readSize      = 4 << 10
)

// responseHead begins the head of another response, which a server wrote into a stream whose end is that of its
// connection.
var responseHead = []byte("HTTP/1.")

// Reader splits a stream into whole events.
type Reader struct {
	in       *bufio.Reader
	memory   *memory.Budget
	reserved int          // Bytes reserved from memory for event.
	event    bytes.Buffer // Lines of the incomplete event.
	id       uint64       // Identifier of the last whole event that had one.
	hasID    bool         // Some event had an identifier.
	named    bool         // The last whole event has an identifier of its own.
	field    bool         // The last whole event has an id or data field.
}

// New returns a reader of the stream r, whose large events take memory from m until Close is called.
func New(r io.Reader, m *memory.Budget) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readSize), memory: m}
}

// Close gives the memory for events back.
func (r *Reader) Close() {
	r.memory.Release(&r.reserved)
	r.event = bytes.Buffer{}
}

// write adds l to the event, unless it is too large or there is no memory for it.
func (r *Reader) write(l []byte) error {
	n := r.event.Len() + len(l)
	if n > maxEventBytes {
		return bulrushlug.WrapError(bulrushlug.KindBroken, "an event is larger than "+strconv.Itoa(maxEventBytes)+" bytes", bulrushlug.ErrOversized)
	}
	if n > r.event.Cap() {
		size := max(n, 2*r.event.Cap())
		if !r.memory.Hold(&r.reserved, size) {
			return bulrushlug.WrapError(bulrushlug.KindBroken, "no memory for an event of "+strconv.Itoa(n)+" bytes or more", bulrushlug.ErrOversized)
		}
		r.event.Grow(size - r.event.Len())
	}
	r.event.Write(l)
	return nil
}

// Next returns the next whole event with its closing blank line, which is valid until the next call.
//
// io.EOF means that the stream ended between events, io.ErrUnexpectedEOF that it ended within one.
func (r *Reader) Next() ([]byte, error) {
	r.event.Reset()
	r.field, r.named = false, false
	for begin := 0; ; { // Offset of the line in the event.
		l, err := r.in.ReadSlice('\n')
		if err := r.write(l); err != nil {
			return nil, err
		}
		if bytes.HasPrefix(r.event.Bytes()[begin:], responseHead) {
			return nil, bulrushlug.Errorf(bulrushlug.KindBroken, "the head of a response within a stream")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && r.event.Len() > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		blank := len(bytes.Trim(r.event.Bytes()[begin:], "\r\n")) == 0
		switch {
		case blank && begin > 0:
			r.parse()
			return r.event.Bytes(), nil
		case blank:
			r.event.Reset()
		}
		begin = r.event.Len()
	}
}

// Buffered reports whether the next whole event has arrived, so that Next returns it without waiting.
func (r *Reader) Buffered() bool {
	b, err := r.in.Peek(r.in.Buffered())
	if err != nil {
		return false
	}
	b = bytes.TrimLeft(b, "\r\n")
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return false
		}
		b = bytes.TrimPrefix(b[i+1:], []byte("\r"))
		if len(b) > 0 && b[0] == '\n' {
			return true
		}
	}
}

// parse reads the fields of the whole event but for its data.
func (r *Reader) parse() {
	for l := range bytes.Lines(r.event.Bytes()) {
		switch n, v := field(l); string(n) {
		case "id":
			if x, err := strconv.ParseUint(string(v), 10, 64); err == nil {
				r.id, r.hasID, r.named = x, true, true
			}
			r.field = true
		case "data":
			r.field = true
		}
	}
}

// field returns the name and the value of the field in line l.
func field(l []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(bytes.TrimRight(l, "\r\n"), []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// Progress reports whether the last whole event has an id or data field; one without, such as a comment, only shows
// that the server is there.
func (r *Reader) Progress() bool { return r.field }

// ID returns the identifier of the last whole event that had one, and false if none had.
func (r *Reader) ID() (uint64, bool) { return r.id, r.hasID }

// Identified reports whether the last whole event has an identifier of its own.
func (r *Reader) Identified() bool { return r.named }

// Data returns the values of the data fields of the last whole event, until Next is called.
func (r *Reader) Data() (d []string) {
	for l := range bytes.Lines(r.event.Bytes()) {
		if n, v := field(l); string(n) == "data" {
			d = append(d, string(v))
		}
	}
	return d
}
