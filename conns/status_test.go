package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestImpossibleStatus guards against a response whose status no response may have, and that is passed on, or waited for until the
// deadline of its request, as its server keeps the connection open.
func TestImpossibleStatus(t *testing.T) {
	sized := "Content-Length: 2\r\n\r\nok"
	for name, x := range map[string]struct {
		status string
		rest   string
		want   string // Body of the response; empty for an error.
	}{
		"000":                            {status: "000 Odd", rest: sized},
		"000 without a reason":           {status: "000", rest: sized},
		"000 without a length":           {status: "000 Odd", rest: "\r\nok"},
		"000, then a response":           {status: "000 Odd", rest: "\r\n" + identified("a", "ok")},
		"001":                            {status: "001 Odd", rest: sized},
		"099":                            {status: "099 Odd", rest: sized},
		"600":                            {status: "600 Odd", rest: sized},
		"999":                            {status: "999 Odd", rest: sized},
		"a sign":                         {status: "+20 Odd", rest: sized},
		"two digits":                     {status: "20 OK", rest: sized},
		"four digits":                    {status: "2000 OK", rest: sized},
		"101, nobody asked for":          {status: "101 Switching", rest: "Upgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		"an interim response with body":  {status: "199 Odd", rest: sized},
		"an interim response in chunks":  {status: "199 Odd", rest: "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		"an interim response, then one":  {status: "103 Early Hints", rest: "Link: x\r\n\r\n" + identified("a", "ok"), want: "ok"},
		"an interim response of no name": {status: "199 Odd", rest: "\r\n" + identified("a", "ok"), want: "ok"},
		"the lowest":                     {status: "200 OK", rest: sized, want: "ok"},
		"the highest":                    {status: "599 Odd", rest: sized, want: "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			open := make(chan struct{})
			defer close(open)
			a := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				id := request(r)
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s", x.status, header, id, x.rest))
				<-open
			})
			begun := time.Now()
			b, err := send(New(header, func() {}), a, "a")
			if b != x.want || (err == nil) != (x.want != "") {
				t.Errorf("response %q, %v", b, err)
			}
			if errors.Is(err, context.DeadlineExceeded) || err != nil && bulrushlug.KindOf(err) != bulrushlug.KindUncertain {
				t.Errorf("%v after %v", err, time.Since(begun))
			}
		})
	}
}
