package guard

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
)

func TestRun(t *testing.T) {
	failed := errors.New("failed")
	for name, x := range map[string]struct {
		f    func() error
		kind bulrushlug.Kind
		err  error
		line string
	}{
		"success":        {f: func() error { return nil }},
		"an error":       {f: func() error { return failed }, err: failed},
		"a panic":        {f: func() error { panic("no replicas") }, kind: bulrushlug.KindInternal, line: "no replicas"},
		"an empty slice": {f: func() error { return []error{}[len(empty)] }, kind: bulrushlug.KindInternal, line: "index out of range"},
	} {
		t.Run(name, func(t *testing.T) {
			b := &bytes.Buffer{}
			err := New(log.NewLogfmtLogger(b)).Run("append", x.f)
			switch {
			case x.line == "" && (!errors.Is(err, x.err) || b.Len() > 0):
				t.Errorf("error %v, logged %q", err, b)
			case x.line != "" && (bulrushlug.KindOf(err) != x.kind || !strings.Contains(b.String(), x.line) || !strings.Contains(b.String(), "task=append")):
				t.Errorf("error %v, logged %q", err, b)
			}
		})
	}
}

// empty is unknown to the compiler.
var empty = ""

func TestLines(t *testing.T) {
	b := &bytes.Buffer{}
	g := New(log.NewLogfmtLogger(b))
	for range 100 {
		_ = g.Run("append", func() error { panic("again") })
	}
	if n := strings.Count(b.String(), "event=panic"); n == 0 || n > 2*maxLines {
		t.Errorf("%d lines", n)
	}
}
