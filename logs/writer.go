// Package logs provides an asynchronous log writer, so that slow log output never blocks the process.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedLines = 2048                   // Maximum number of queued lines; further lines are dropped and counted.
	flushInterval  = 200 * time.Millisecond // Time for which lines are batched, since each write costs a system call.
)

// Writer queues lines and writes them to another writer in batches.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	lines   [][]byte // At most maxQueuedLines.
	dropped int      // Number of lines dropped since the last flush.
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

// New returns a writer that writes to w from a goroutine of its own until Close is called.
func New(w io.Writer) *Writer {
	x := &Writer{out: w, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go x.run()
	return x
}

// Write queues p, which must be one line, and never blocks on the output; if the queue is full, it drops p.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lines) >= maxQueuedLines {
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

// run flushes the queue until Close.
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
		case <-time.After(flushInterval):
		case <-w.closed:
		}
		w.flush()
	}
}

// flush writes the queued lines, and a line that counts the dropped ones if there are any.
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

// Close writes the queued lines and stops the writer; it must be called once.
func (w *Writer) Close() error {
	close(w.closed)
	<-w.done
	return nil
}
