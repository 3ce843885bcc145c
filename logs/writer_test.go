package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockingWriter is a writer that blocks until free is closed.
type blockingWriter struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	free chan struct{}
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestWriter(t *testing.T) {
	for name, x := range map[string]struct {
		lines   int
		dropped bool
	}{
		"a few lines":       {lines: 10},
		"a full queue":      {lines: maxQueuedLines},
		"an overfull queue": {lines: 3 * maxQueuedLines, dropped: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &blockingWriter{free: make(chan struct{})}
			w := New(s)
			for i := range x.lines {
				if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
					t.Fatal(err)
				}
			}
			close(s.free)
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			got := s.buf.String()
			if n := strings.Count(got, "line "); (n < x.lines) != x.dropped || strings.Contains(got, "linesDropped") != x.dropped {
				t.Errorf("%d of %d lines were written; wrong number or wrong drop notice", n, x.lines)
			}
		})
	}
}
