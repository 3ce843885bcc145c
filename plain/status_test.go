package plain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestImpossibleStatus guards against a response with a status that no response may have, and that is passed on.
func TestImpossibleStatus(t *testing.T) {
	for name, x := range map[string]struct {
		status string
		ok     bool
	}{
		"000":         {status: "000 Odd"},
		"099":         {status: "099 Odd"},
		"600":         {status: "600 Odd"},
		"999":         {status: "999 Odd"},
		"101":         {status: "101 Switching"},
		"the lowest":  {status: "200 OK", ok: true},
		"the highest": {status: "599 Odd", ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(serve(t, func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+x.status+"\r\nContent-Length: 2\r\n\r\nok")
				}
			}))
			k := &caller{}
			err := p.Run(t.Context(), bulrushlug.NewRequest("r", bulrushlug.WithCall("GET", "/x", "", nil)), k)
			if (err == nil) != x.ok || err != nil && (bulrushlug.KindOf(err) != bulrushlug.KindUncertain || k.status != 0) {
				t.Errorf("%v, the caller got %d", err, k.status)
			}
		})
	}
}
