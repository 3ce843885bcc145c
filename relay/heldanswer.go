package relay

import "bulrushlug.dev/bulrushlug"

// holdLimit is the number of bytes of an answer that are held back at most.
const holdLimit = 4 << 20

// heldAnswer keeps an answer back until it is whole or too large, so that it can still be replaced.
type heldAnswer struct {
	sink        bulrushlug.Sink
	keep        bool // Pieces are kept back.
	passed      bool // Something was passed on.
	status      int  // Zero before the head came.
	contentType string
	data        []byte
	headed      func() // Called when the head comes.
}

func newHeldAnswer(s bulrushlug.Sink, keep bool) *heldAnswer { return &heldAnswer{sink: s, keep: keep} }

func (h *heldAnswer) onHead(f func()) { h.headed = f }

// reset forgets what was kept back.
func (h *heldAnswer) reset() { h.status, h.contentType, h.data = 0, "", nil }

// Head keeps the head until data comes.
func (h *heldAnswer) Head(n int, t string) error {
	h.status, h.contentType = n, t
	h.headed()
	return nil
}

// Write keeps p or passes it on.
func (h *heldAnswer) Write(p []byte) error {
	if h.keep && len(h.data)+len(p) <= holdLimit {
		h.data = append(h.data, p...)
		return nil
	}
	if err := h.release(); err != nil {
		return err
	}
	return h.sink.Write(p)
}

// release passes on what was kept.
func (h *heldAnswer) release() error {
	h.keep = false
	if h.passed {
		return nil
	}
	h.passed = true
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

// flush passes on the rest of an answer that is whole.
func (h *heldAnswer) flush() error { return h.release() }
