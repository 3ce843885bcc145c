package plain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestHeadBreaksOff guards against a response that looks whole although the service closed the connection within its head:
// the head is cut at every byte.
func TestHeadBreaksOff(t *testing.T) {
	for name, head := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) {
				p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
					if q, err := http.ReadRequest(in); err == nil {
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(c, head[:cut])
					}
				}))
				k := &caller{}
				r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/x", "text/plain", []byte("b")))
				if err := p.Run(t.Context(), r, k); bulrushlug.KindOf(err) != bulrushlug.KindUncertain || k.data.Len() > 0 {
					t.Errorf("cut after %q: %v, the caller got %q", head[:cut], err, k.data.String())
				}
			}
		})
	}
}
