package dgram

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
)

// newTransport returns a running transport on a free port, and its counts.
func newTransport(t *testing.T, c context.Context) (*Transport, string, *expvar.Map) {
	t.Helper()
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.LocalAddr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	counts := new(expvar.Map).Init()
	x, err := New("v", a, nil, guard.New(log.NewNopLogger()), counts)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = x.Run(c) }()
	<-x.booted
	return x, a, counts
}

// TestBadDatagrams sends datagrams of which the last one is sound.
func TestBadDatagrams(t *testing.T) {
	for name, x := range map[string]struct {
		datagrams [][]byte
		panics    bool // The handler panics on the first message.
		count     string
	}{
		"sound":              {},
		"empty":              {datagrams: [][]byte{{}}},
		"no message":         {datagrams: [][]byte{[]byte("GET / HTTP/1.1"), {255, 255, 255, 255}}, count: "notDecoded"},
		"the handler panics": {panics: true, count: "panics"},
	} {
		t.Run(name, func(t *testing.T) {
			c, stop := context.WithCancel(t.Context())
			defer stop()
			to, a, counts := newTransport(t, c)
			from, _, _ := newTransport(t, c)
			got, first := make(chan uint64, 9), true
			to.OnMessage(func(m bulrushlug.Message) {
				if x.panics && first {
					first = false
					panic("the first message")
				}
				got <- m.Report().Sequence()
			})
			o, err := net.Dial("udp", a)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = o.Close() }()
			for _, b := range x.datagrams {
				if _, err := o.Write(b); err != nil {
					t.Fatal(err)
				}
			}
			m := bulrushlug.NewMember("v", a, "r", "z", bulrushlug.RoleEntry)
			for n := range uint64(2) {
				from.Send(a, bulrushlug.NewMessage(bulrushlug.MessageReport(bulrushlug.NewReport(m, 1, n+1))))
			}
			for seen := uint64(0); seen != 2; {
				select {
				case seen = <-got:
				case <-time.After(5 * time.Second):
					t.Fatal("the last message did not arrive")
				}
			}
			if x.count != "" && (counts.Get(x.count) == nil || fmt.Sprint(counts.Get(x.count)) == "0") {
				t.Errorf("counted %v", counts)
			}
		})
	}
}
