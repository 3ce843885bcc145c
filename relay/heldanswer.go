package relay

import "bulrushlug.dev/bulrushlug"

// maxHeldBytes is the size up to which an answer is buffered; a larger one is streamed.
const maxHeldBytes = 4 << 20

// heldAnswer is a sink that buffers an answer until it is complete or too large, so that a retry can still replace it.
type heldAnswer struct {
	sink        bulrushlug.Sink
	holding     bool // Data is buffered.
	released    bool // The head was written to sink; no retry is possible any more.
	status      int  // HTTP status; zero before Head.
	contentType string
	data        []byte
	headHook    func() // Called by Head.
}

func newHeldAnswer(s bulrushlug.Sink, keep bool) *heldAnswer {
	return &heldAnswer{sink: s, holding: keep}
}

func (h *heldAnswer) onHead(f func()) { h.headHook = f }

// reset discards what is buffered.
func (h *heldAnswer) reset() { h.status, h.contentType, h.data = 0, "", nil }

// Head stores the head until release.
func (h *heldAnswer) Head(n int, t string) error {
	h.status, h.contentType = n, t
	h.headHook()
	return nil
}

// Write buffers p or writes it to the sink.
func (h *heldAnswer) Write(p []byte) error {
	if h.holding && len(h.data)+len(p) <= maxHeldBytes {
		h.data = append(h.data, p...)
		return nil
	}
	if err := h.release(); err != nil {
		return err
	}
	return h.sink.Write(p)
}

// release writes what is buffered to the sink and ends the buffering.
func (h *heldAnswer) release() error {
	h.holding = false
	if h.released {
		return nil
	}
	h.released = true
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

// flush writes the rest of a complete answer.
func (h *heldAnswer) flush() error { return h.release() }
