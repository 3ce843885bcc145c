// Package logs writes log lines without ever making the writer wait.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	queueSize = 2048                   // Lines that wait to be written; more are dropped and counted.
	flushTime = 200 * time.Millisecond // Time for which lines are gathered; each write costs a system call.
)

// Writer queues lines for another writer.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	lines   [][]byte // At most queueSize lines.
	dropped int      // Lines dropped since the last write.
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

// New returns a writer that writes to w from a goroutine of its own until Close.
func New(w io.Writer) *Writer {
	x := &Writer{out: w, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go x.run()
	return x
}

// Write queues one line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines) >= queueSize {
		w.dropped++
		return len(p), nil
	}
	w.lines = append(w.lines, bytes.Clone(p))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.closed:
			w.flush()
			return
		}
		select {
		case <-time.After(flushTime):
		case <-w.closed:
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	b := bytes.Join(w.lines, nil)
	n := w.dropped
	w.lines, w.dropped = nil, 0
	w.mu.Unlock()
	if n > 0 {
		b = fmt.Appendf(b, "event=linesDropped count=%d\n", n)
	}
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}

// Close writes what is queued and stops.
func (w *Writer) Close() error {
	close(w.closed)
	<-w.done
	return nil
}
