package plain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestResetDuringUpload guards against a response that the service resets while the request is still being written, and that passes
// for a whole one.
func TestResetDuringUpload(t *testing.T) {
	for name, size := range map[string]int{"a short request": 400, "a long request": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(200 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}))
			for range 5 {
				k := &caller{}
				err := p.Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithCall("POST", "/x", "text/plain", make([]byte, size))), k)
				if err == nil {
					t.Errorf("the caller got %q with status %d as a whole response", k.data.String(), k.status)
				}
			}
		})
	}
}
