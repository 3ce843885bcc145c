package bulrushlug_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"bulrushlug.dev/bulrushlug"
)

// endless is a reader without end that counts what was read.
type endless struct{ n int }

func (e *endless) Read(p []byte) (int, error) {
	e.n += len(p)
	return len(p), nil
}

// TestReadAll guards against responses of services that are read without bound.
func TestReadAll(t *testing.T) {
	broken := errors.New("connection reset")
	for name, x := range map[string]struct {
		in   io.Reader
		want string
		err  error
	}{
		"empty":                 {in: strings.NewReader("")},
		"short":                 {in: strings.NewReader("abc"), want: "abc"},
		"as long as may be":     {in: strings.NewReader("abcdefgh"), want: "abcdefgh"},
		"byte by byte":          {in: iotest.OneByteReader(strings.NewReader("abcdefgh")), want: "abcdefgh"},
		"one byte more":         {in: strings.NewReader("abcdefghi"), err: bulrushlug.ErrOversized},
		"without end":           {in: &endless{}, err: bulrushlug.ErrOversized},
		"broken off":            {in: io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), err: broken},
		"broken off at the end": {in: io.MultiReader(strings.NewReader("abcdefgh"), iotest.ErrReader(broken)), err: broken},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := bulrushlug.ReadAll(x.in, 8)
			if !errors.Is(err, x.err) || x.err == nil && string(b) != x.want {
				t.Errorf("%q, %v", b, err)
			}
			if e, ok := x.in.(*endless); ok && e.n > 1<<10 {
				t.Errorf("%d bytes were read", e.n)
			}
		})
	}
}
