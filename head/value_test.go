package head

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func TestValue(t *testing.T) {
	const first = "GET / HTTP/1.1\r\n"
	for name, x := range map[string]struct{ head, want string }{
		"no field":         {head: first + "a: b\r\n\r\n"},
		"the first field":  {head: first + "X-Id: 1\r\n\r\n", want: "1"},
		"the last field":   {head: first + "a: b\r\nX-Id: 1\r\n", want: "1"},
		"another case":     {head: first + "x-iD: 1\r\n", want: "1"},
		"spaces":           {head: first + "X-Id:\t 1 \t\r\n", want: "1"},
		"bare line feeds":  {head: "GET / HTTP/1.1\nX-Id:1\n\n", want: "1"},
		"two fields":       {head: first + "X-Id: 1\r\nX-Id: 2\r\n", want: "1"},
		"half a line":      {head: first + "X-Id: 1"},
		"a longer name":    {head: first + "X-Idx: 1\r\nAX-Id: 2\r\n"},
		"in a value":       {head: first + "a: X-Id: 1\r\n"},
		"a continued line": {head: first + "X-Id: 1\r\n 2\r\n"},
		"odd bytes":        {head: first + "X-Id: 1\x002\r\n"},
		"not ASCII":        {head: first + "X-Id: é\r\n"},
		"a space within":   {head: first + "X-Id: 1 2\r\n"},
		"a split response": {head: first + "X-Id: 1\r2\r\n"},
		"in the body":      {head: first + "a: b\r\n\r\nX-Id: 1\r\n"},
		"nothing":          {},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Value([]byte(x.head), "X-Id"); got != x.want {
				t.Errorf("value %q, want %q", got, x.want)
			}
		})
	}
}

// FuzzValue compares a value with that of net/http, where the request can be read.
func FuzzValue(f *testing.F) {
	f.Add("X-Id: 1\r\n")
	f.Add("a: b\r\nx-id:\t1 \n c\r\n")
	f.Fuzz(func(t *testing.T, fields string) {
		h := "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
		got := Value([]byte(h), "X-Id")
		if strings.ContainsFunc(got, isNotVisible) {
			t.Errorf("value %q", got)
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(h)))
		if err != nil || got == "" {
			return
		}
		if want := r.Header.Get("X-Id"); got != want {
			t.Errorf("value %q, net/http has %q in %q", got, want, h)
		}
	})
}
