package link_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/link"
	"bulrushlug.dev/bulrushlug/serve"
	"bulrushlug.dev/bulrushlug/state"
	"bulrushlug.dev/bulrushlug/wire"
)

type drop struct{}

func (drop) Head(int, string) error { return nil }
func (drop) Write([]byte) error     { return nil }

// listen serves g and returns the address.
func listen(t *testing.T, g bulrushlug.Stage) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(context.Background())
	k := clock.New()
	s := serve.New(state.New(fresh.New("z")), event.New("vm", k), k, func() *wire.Position { return &wire.Position{} }, serve.WithStage(g))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(c, l)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return l.Addr().String()
}

// TestConnectionsAreUsedAgain has calls end in every way, many at once, on few connections.
func TestConnectionsAreUsedAgain(t *testing.T) {
	g := bulrushlug.StageFunc(func(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
		switch len(r.Body()) % 4 {
		case 0:
			return bulrushlug.NewFault(bulrushlug.KindOverloaded, "no idle slot")
		case 1:
			return bulrushlug.Wait(c, 50*time.Millisecond)
		}
		if err := s.Head(200, "text/plain"); err != nil {
			return err
		}
		return s.Write(make([]byte, 2000))
	})
	a := listen(t, g)
	k := link.New(clock.New(), nil)
	defer func() { _ = k.Close() }()
	var w sync.WaitGroup
	for i := range 16 {
		w.Go(func() {
			for n := range 400 {
				c, stop := context.WithTimeout(context.Background(), 10*time.Second)
				if n%4 == 1 && i%2 == 0 {
					c, stop = context.WithTimeout(context.Background(), time.Millisecond)
				}
				r := bulrushlug.NewRequest(fmt.Sprint(i, "-", n), bulrushlug.WithCall("POST", "/", "", make([]byte, n)))
				err := k.Dispatch(c, bulrushlug.NewCandidate("vm", a), r, drop{})
				if c.Err() != nil && n%4 != 1 {
					t.Errorf("call %d of %d got no answer: %v", n, i, err)
				}
				stop()
			}
		})
	}
	w.Wait()
}
