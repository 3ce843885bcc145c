package relay

import (
	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/memory"
)

// maxBufferedBytes is the size in bytes up to which a response is buffered; a larger one is streamed.
const maxBufferedBytes = 1 << 20

// bufferedResponse is a sink that buffers a response until it is complete or too large, so that a retry can still
// replace it.
type bufferedResponse struct {
	sink        bulrushlug.Sink
	buffering   bool // Data is buffered.
	headWritten bool // The head was written to sink; no retry is possible any more.
	status      int  // HTTP status; zero before Head.
	contentType string
	data        []byte
	reserved    int    // Bytes reserved for data.
	headHook    func() // Called by Head.
	memory      *memory.Budget
}

func newBufferedResponse(s bulrushlug.Sink, buffer bool, m *memory.Budget) *bufferedResponse {
	return &bufferedResponse{sink: s, buffering: buffer, memory: m}
}

// grow makes room for n more bytes; it returns false if the response may not hold them.
func (h *bufferedResponse) grow(n int) bool {
	size := len(h.data) + n
	if size <= cap(h.data) {
		return true
	}
	size = max(size, 2*cap(h.data))
	if len(h.data)+n > maxBufferedBytes || !h.memory.Hold(&h.reserved, size) {
		return false
	}
	h.data = append(make([]byte, 0, size), h.data...)
	return true
}

// discard gives up what is buffered.
func (h *bufferedResponse) discard() {
	h.memory.Release(&h.reserved)
	h.data = nil
}

func (h *bufferedResponse) onHead(f func()) { h.headHook = f }

// reset discards what is buffered.
func (h *bufferedResponse) reset() {
	h.status, h.contentType = 0, ""
	h.discard()
}

// Head stores the head until release.
func (h *bufferedResponse) Head(n int, t string) error {
	h.status, h.contentType = n, t
	h.headHook()
	return nil
}

// Write buffers p or writes it to the sink.
func (h *bufferedResponse) Write(p []byte) error {
	if h.buffering && h.grow(len(p)) {
		h.data = append(h.data, p...)
		return nil
	}
	if err := h.release(); err != nil {
		return err
	}
	return h.sink.Write(p)
}

// release writes what is buffered to the sink and ends the buffering.
func (h *bufferedResponse) release() error {
	h.buffering = false
	if h.headWritten {
		return nil
	}
	h.headWritten = true
	if err := h.sink.Head(h.status, h.contentType); err != nil {
		return err
	}
	if len(h.data) == 0 {
		return nil
	}
	defer h.discard()
	return h.sink.Write(h.data)
}

// flush writes the rest of a complete response.
func (h *bufferedResponse) flush() error { return h.release() }
