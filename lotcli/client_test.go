package lotcli

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
)

// TestSilentProcess guards against a call that outlives its context, at a process that is suspended, or whose disk takes nothing:
// the kernel accepts the connection, and nobody answers.
func TestSilentProcess(t *testing.T) {
	const (
		limit   = 300 * time.Millisecond
		patient = 3 * time.Second
	)
	u := func(n int) bulrushlug.LotUpdate {
		e := bulrushlug.NewLotResultEntry(bulrushlug.NewLotResult(0, true, strings.Repeat("x", n)))
		return bulrushlug.NewLotUpdate("lot", 1, []string{"a", "b"}, 1, []bulrushlug.LotEntry{e}, true)
	}
	calls := map[string]func(c context.Context, k *Client, a string) error{
		"an update": func(c context.Context, k *Client, a string) error {
			_, err := k.Append(c, a, u(1))
			return err
		},
		"an update larger than the buffers": func(c context.Context, k *Client, a string) error {
			_, err := k.Append(c, a, u(16<<20))
			return err
		},
		"a question": func(c context.Context, k *Client, a string) error {
			_, err := k.Verify(c, a, "lot", 1)
			return err
		},
		"forget": func(c context.Context, k *Client, a string) error { return k.Forget(c, a, "lot", 1) },
	}
	for name, f := range calls {
		for what, serve := range map[string]func(n net.Conn){
			"is not read": func(n net.Conn) {
				<-t.Context().Done()
				_ = n.Close()
			},
			"gets no answer": func(n net.Conn) {
				b := make([]byte, 1<<20)
				for {
					if _, err := n.Read(b); err != nil {
						return
					}
				}
			},
			"gets bytes without a meaning": func(n net.Conn) {
				for {
					if _, err := n.Write([]byte{0}); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			},
		} {
			t.Run(name+" "+what, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				go func() {
					for {
						n, err := l.Accept()
						if err != nil {
							return
						}
						go serve(n)
					}
				}()
				c, stop := context.WithTimeout(t.Context(), limit)
				defer stop()
				done := make(chan error, 1)
				go func() { done <- f(c, New(), l.Addr().String()) }()
				select {
				case err := <-done:
					if err == nil {
						t.Error("the call succeeded")
					}
				case <-time.After(patient):
					t.Errorf("the call has not returned %v after it began, its limit is %v", patient, limit)
				}
			})
		}
	}
}
