package dial

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestResetWhileWriting guards against a reset that only the writing side meets, so that the reading side takes what has come for
// all.
func TestResetWhileWriting(t *testing.T) {
	const answer = "the answer"
	for name, x := range map[string]struct {
		bytes int
		peer  func(c *net.TCPConn)
		whole bool // The reads end without an error.
	}{
		"a reset after a short write": {bytes: 10, peer: reset},
		"a reset during a long write": {bytes: 16 << 20, peer: reset},
		"a close during a long write": {bytes: 16 << 20, peer: func(*net.TCPConn) {}},
		"the end after a short write": {bytes: 10, peer: drain, whole: true},
		"the end after a long write":  {bytes: 16 << 20, peer: drain, whole: true},
		"one direction after the other": {bytes: 16 << 20, peer: func(c *net.TCPConn) {
			drain(c)
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = bufio.NewReader(io.LimitReader(c, 1)).ReadByte()
				_, _ = io.WriteString(c, answer)
				time.Sleep(100 * time.Millisecond)
				x.peer(c.(*net.TCPConn))
			}()
			c, err := New(net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			go func() {
				_, _ = io.Copy(c, strings.NewReader(strings.Repeat("x", x.bytes)))
				if x.whole {
					_ = c.(*conn).Conn.(*net.TCPConn).CloseWrite()
				}
			}()
			b, err := io.ReadAll(c)
			if !strings.HasPrefix(answer, string(b)) || x.whole && string(b) != answer {
				t.Errorf("read %q", b)
			}
			if (err == nil) != x.whole {
				t.Errorf("reading ended with %v", err)
			}
		})
	}
}

// reset resets c when it is closed.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// drain reads all that the other side sends.
func drain(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
