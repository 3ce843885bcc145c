// Package stream reads streams of server-sent events.
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

// maxEventBytes is the largest size of one event.
const maxEventBytes = 1 << 20

// responseHead begins the head of another response, which a server wrote into a stream whose end is that of its
// connection.
var responseHead = []byte("HTTP/1.")

// Reader splits a stream into whole events.
type Reader struct {
	in    *bufio.Reader
	event bytes.Buffer // Lines of the incomplete event.
	id    uint64       // Identifier of the last whole event that had one.
	hasID bool         // Some event had an identifier.
	named bool         // The last whole event has an identifier of its own.
	data  []string     // Values of the data fields of the last whole event.
	field bool         // The last whole event has an id or data field.
}

// New returns a reader of the stream r.
func New(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 4096)} }

// Next returns the next whole event with its closing blank line, which is valid until the next call.
//
// io.EOF means that the stream ended between events, io.ErrUnexpectedEOF that it ended within one.
func (r *Reader) Next() ([]byte, error) {
	r.event.Reset()
	r.data, r.field, r.named = r.data[:0], false, false
	for begin := 0; ; { // Offset of the line in the event.
		l, err := r.in.ReadSlice('\n')
		r.event.Write(l)
		if bytes.HasPrefix(r.event.Bytes()[begin:], responseHead) {
			return nil, bulrushlug.Errorf(bulrushlug.KindBroken, "the head of a response within a stream")
		}
		if r.event.Len() > maxEventBytes {
			return nil, bulrushlug.Errorf(bulrushlug.KindBroken, "an event is larger than %d bytes", maxEventBytes)
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

// parse reads the id and data fields of the whole event.
func (r *Reader) parse() {
	for l := range strings.Lines(r.event.String()) {
		l = strings.TrimRight(l, "\r\n")
		n, v, _ := strings.Cut(l, ":")
		v = strings.TrimPrefix(v, " ")
		switch n {
		case "id":
			if x, err := strconv.ParseUint(v, 10, 64); err == nil {
				r.id, r.hasID, r.named = x, true, true
			}
			r.field = true
		case "data":
			r.data = append(r.data, v)
			r.field = true
		}
	}
}

// Progress reports whether the last whole event has an id or data field; one without, such as a comment, only shows
// that the server is there.
func (r *Reader) Progress() bool { return r.field }

// ID returns the identifier of the last whole event that had one, and false if none had.
func (r *Reader) ID() (uint64, bool) { return r.id, r.hasID }

// Identified reports whether the last whole event has an identifier of its own.
func (r *Reader) Identified() bool { return r.named }

// Data returns the values of the data fields of the last whole event; they are valid until Next is called.
func (r *Reader) Data() []string { return r.data }
