package relay

import "bulrushlug.dev/bulrushlug"

// maxBufferedBytes is the size in bytes up to which a response is buffered; a larger one is streamed.
const maxBufferedBytes = 4 << 20

// bufferedResponse is a sink that buffers a response until it is complete or too large, so that a retry can still
// replace it.
type bufferedResponse struct {
	sink        bulrushlug.Sink
	buffering   bool // Data is buffered.
	headWritten bool // The head was written to sink; no retry is possible any more.
	status      int  // HTTP status; zero before Head.
	contentType string
	data        []byte
	headHook    func() // Called by Head.
}

func newBufferedResponse(s bulrushlug.Sink, buffer bool) *bufferedResponse {
	return &bufferedResponse{sink: s, buffering: buffer}
}

func (h *bufferedResponse) onHead(f func()) { h.headHook = f }

// reset discards what is buffered.
func (h *bufferedResponse) reset() { h.status, h.contentType, h.data = 0, "", nil }

// Head stores the head until release.
func (h *bufferedResponse) Head(n int, t string) error {
	h.status, h.contentType = n, t
	h.headHook()
	return nil
}

// Write buffers p or writes it to the sink.
func (h *bufferedResponse) Write(p []byte) error {
	if h.buffering && len(h.data)+len(p) <= maxBufferedBytes {
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
	b := h.data
	h.data = nil
	return h.sink.Write(b)
}

// flush writes the rest of a complete response.
func (h *bufferedResponse) flush() error { return h.release() }
