package relay

import (
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug/memory"
)

// TestLargeResponses guards against large responses that are buffered together without bound, and against a short one that is
// not buffered because of them.
func TestLargeResponses(t *testing.T) {
	const (
		budget = 8 << 20
		part   = 64 << 10
		free   = 16 << 10 // Bytes of each response that are not counted.
	)
	for name, x := range map[string]struct {
		responses int
		size      int  // Bytes of each.
		streamed  bool // They are written to their callers before they are complete.
	}{
		"one short":             {responses: 1, size: part},
		"one that is buffered":  {responses: 1, size: maxBufferedBytes},
		"one that is too large": {responses: 1, size: maxBufferedBytes + part, streamed: true},
		"many short":            {responses: 64, size: part},
		"many large":            {responses: 64, size: maxBufferedBytes, streamed: true},
		"many very large":       {responses: 256, size: 2 * maxBufferedBytes, streamed: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := memory.New(budget)
			callers := make([]*caller, x.responses)
			l := make([]*bufferedResponse, x.responses)
			for i := range l {
				callers[i] = &caller{}
				l[i] = newBufferedResponse(callers[i], true, m)
				l[i].onHead(func() {})
				if err := l[i].Head(200, "text/plain"); err != nil {
					t.Fatal(err)
				}
			}
			p := []byte(strings.Repeat("x", part))
			for range x.size / part {
				held := 0
				for _, h := range l {
					if err := h.Write(p); err != nil {
						t.Fatal(err)
					}
					held += cap(h.data)
				}
				if most := budget + x.responses*(free+part); held > most {
					t.Fatalf("%d bytes are buffered, %d may be", held, most)
				}
			}
			streamed := false
			for _, k := range callers {
				streamed = streamed || k.head > 0
			}
			if streamed != x.streamed {
				t.Errorf("responses are written before they are complete: %v", streamed)
			}
			for i, h := range l {
				if err := h.flush(); err != nil {
					t.Fatal(err)
				}
				h.discard()
				if k := callers[i]; len(k.data) != x.size || k.head != 1 {
					t.Errorf("the caller got %d bytes and %d heads", len(k.data), k.head)
				}
			}
			if m.Used() != 0 {
				t.Errorf("%d bytes are reserved in the end", m.Used())
			}
		})
	}
}
