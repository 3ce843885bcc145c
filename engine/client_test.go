package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// serve answers every request with b, and then closes or resets the connection.
func serve(t *testing.T, b string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, q.Body)
				b, reset := strings.CutSuffix(b, "RESET")
				_, _ = io.WriteString(c, b)
				if reset {
					time.Sleep(50 * time.Millisecond) // Lets the bytes be read: a reset discards those that are not.
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// caller records what it receives.
type caller struct {
	status int
	data   strings.Builder
}

func (k *caller) Head(n int, _ string) error {
	k.status = n
	return nil
}

func (k *caller) Write(p []byte) error {
	_, err := k.data.Write(p)
	return err
}

// TestResponseEnds has responses that end in several ways; a stream is complete after its last event only.
func TestResponseEnds(t *testing.T) {
	const (
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		text   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		half   = "data: 1\n\ndata: 2\n\n"
		whole  = half + "data: [DONE]\n\n"
	)
	chunked := func(s string) string { return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(s), s) }
	for name, x := range map[string]struct {
		response string
		want     string
		kind     bulrushlug.Kind
		ok       bool
	}{
		"a stream without length or chunks":  {response: stream + "\r\n" + whole, want: whole, ok: true},
		"ends within an event":               {response: stream + "\r\n" + half + "data: 3", want: half, kind: bulrushlug.KindBroken},
		"ends before an empty line":          {response: stream + "\r\n" + half + "data: [DONE]\n", want: half, kind: bulrushlug.KindBroken},
		"ends between events":                {response: stream + "\r\n" + half, want: half, kind: bulrushlug.KindBroken},
		"no event":                           {response: stream + "\r\n", kind: bulrushlug.KindBroken},
		"reset between events":               {response: stream + "\r\n" + half + "RESET", want: half, kind: bulrushlug.KindBroken},
		"a stream in chunks":                 {response: stream + chunked(whole) + "0\r\n\r\n", want: whole, ok: true},
		"chunks that end between events":     {response: stream + chunked(half) + "0\r\n\r\n", want: half, kind: bulrushlug.KindBroken},
		"chunks without their end":           {response: stream + chunked(half), want: half, kind: bulrushlug.KindBroken},
		"a text without a length":            {response: text + "\r\n{}", want: "{}", ok: true},
		"a text that is reset":               {response: text + "\r\n{RESET", want: "{", kind: bulrushlug.KindBroken},
		"a text that is too short":           {response: text + "Content-Length: 3\r\n\r\n{}", want: "{}", kind: bulrushlug.KindBroken},
		"a text in chunks without their end": {response: text + chunked("{}"), want: "{}", kind: bulrushlug.KindBroken},
		"a failure":                          {response: "HTTP/1.1 500 Failed\r\n\r\nit failed", kind: bulrushlug.KindBroken},
		"a status that none may have":        {response: "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", kind: bulrushlug.KindBroken},
		"a status above all":                 {response: "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok", kind: bulrushlug.KindBroken},
		"a switch of protocols":              {response: "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", kind: bulrushlug.KindBroken},
		"no response":                        {response: "", kind: bulrushlug.KindUncertain},
		"bytes that are no response":         {response: "it failed\r\n\r\n", kind: bulrushlug.KindUncertain},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := &caller{}
			r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/v1/completions", "application/json", []byte("{}")))
			err := New(serve(t, x.response)).Run(t.Context(), r, k)
			if (err == nil) != x.ok || err != nil && bulrushlug.KindOf(err) != x.kind || k.data.String() != x.want {
				t.Errorf("%v, the caller got %d and %q", err, k.status, k.data.String())
			}
		})
	}
}

// TestLateDuplicate has an engine that, before each answer but the first on a connection, writes the one before again.
func TestLateDuplicate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				last := ""
				for q, err := http.ReadRequest(in); err == nil; q, err = http.ReadRequest(in) {
					b, _ := io.ReadAll(q.Body)
					next := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
					_, _ = io.WriteString(c, last+next)
					last = next
				}
			}()
		}
	}()
	e := New("http://" + l.Addr().String())
	for _, body := range []string{"a", "b", "c"} {
		k := &caller{}
		r := bulrushlug.NewRequest(body, bulrushlug.WithCall(http.MethodPost, "/v1/completions", "application/json", []byte(body)))
		if err := e.Run(t.Context(), r, k); err != nil || k.data.String() != body {
			t.Errorf("request %q got %q, %v", body, k.data.String(), err)
		}
		time.Sleep(20 * time.Millisecond) // Lets the connection become idle.
	}
}

// TestEndlessEvent has an engine that sends an event without end; a bounded part of it is read.
func TestEndlessEvent(t *testing.T) {
	const maxTaken = 16 << 20 // Bytes that the engine can send, most of them into the buffers of the kernel.
	for name, more := range map[string]string{"one line": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			written := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\ndata: ")
				n := 0
				for s := strings.Repeat(more, (64<<10)/len(more)); err == nil && n < 4*maxTaken; {
					var m int
					m, err = io.WriteString(c, s)
					n += m
				}
				written <- n
			}()
			k := &caller{}
			r := bulrushlug.NewRequest("r", bulrushlug.WithCall(http.MethodPost, "/v1/completions", "application/json", []byte("{}")))
			err = New("http://"+l.Addr().String()).Run(t.Context(), r, k)
			if bulrushlug.KindOf(err) != bulrushlug.KindBroken || k.data.String() != "data: 1\n\n" {
				t.Errorf("%v, the caller got %d bytes", err, k.data.Len())
			}
			if n := <-written; n > maxTaken {
				t.Errorf("the engine sent %d bytes", n)
			}
		})
	}
}
