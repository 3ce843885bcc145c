package proxy

import (
	"errors"
	"io"

	"bulrushlug.dev/bulrushlug/memory"
)

const (
	maxBuffered = 1 << 20  // Bytes of a response that are held until it is complete.
	readSize    = 16 << 10 // Bytes of one part of them.
)

// buffer holds the beginning of a response in parts of readSize.
type buffer struct {
	memory   *memory.Budget
	parts    [][]byte // All but the last one are full.
	reserved int      // Bytes reserved from memory.
}

// fill reads r to its end, and reports whether the buffer holds all of it. If it may not hold more, it returns false and no
// error.
func (b *buffer) fill(r io.Reader) (whole bool, err error) {
	for b.grow() {
		last := &b.parts[len(b.parts)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// grow adds a part if the last one is full; it returns false if the buffer may not hold more.
func (b *buffer) grow() bool {
	n := len(b.parts)
	switch {
	case n > 0 && len(b.parts[n-1]) < readSize:
		return true
	case n*readSize >= maxBuffered || !b.memory.Hold(&b.reserved, (n+1)*readSize):
		return false
	}
	b.parts = append(b.parts, make([]byte, 0, readSize))
	return true
}

// copyTo writes all parts to s.
func (b *buffer) copyTo(s *sink) error {
	for _, p := range b.parts {
		if err := s.write(p); err != nil {
			return err
		}
	}
	return nil
}

// release empties the buffer and gives its memory back.
func (b *buffer) release() {
	b.memory.Release(&b.reserved)
	b.parts = nil
}
