package rpccli_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cert"
	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/event"
	"bulrushlug.dev/bulrushlug/fresh"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/issuer"
	"bulrushlug.dev/bulrushlug/rpccli"
	"bulrushlug.dev/bulrushlug/rpcsrv"
	"bulrushlug.dev/bulrushlug/state"
	"bulrushlug.dev/bulrushlug/wire"
)

// discard is a sink that drops the response.
type discard struct{}

func (discard) Head(int, string) error { return nil }
func (discard) Write([]byte) error     { return nil }

// listen serves g, with TLS if x isn't nil, and returns the address.
func listen(t *testing.T, g bulrushlug.Stage, x func() *tls.Config) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(context.Background())
	k := clock.New()
	s := rpcsrv.New(guard.New(log.NewNopLogger()), state.New(fresh.New("z")), event.New("vm", k), k, func() *wire.Position { return &wire.Position{} }, rpcsrv.WithStage(g), rpcsrv.WithTLS(x))
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

// TestCallsAreIndependent guards against a call that gets no response because an earlier one on the same connection
// failed or timed out: it runs many calls at once that fail, time out or succeed.
func TestCallsAreIndependent(t *testing.T) {
	g := bulrushlug.StageFunc(func(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
		switch len(r.Body()) % 4 {
		case 0:
			return bulrushlug.Errorf(bulrushlug.KindOverloaded, "no idle slot")
		case 1:
			return bulrushlug.Sleep(c, 50*time.Millisecond)
		}
		if err := s.Head(200, "text/plain"); err != nil {
			return err
		}
		return s.Write(make([]byte, 2000))
	})
	a := listen(t, g, nil)
	k := rpccli.New(clock.New(), nil)
	defer func() { _ = k.Close() }()
	var w sync.WaitGroup
	for i := range 16 {
		w.Go(func() {
			for n := range 120 {
				c, stop := context.WithTimeout(context.Background(), 10*time.Second)
				if n%4 == 1 && i%2 == 0 {
					c, stop = context.WithTimeout(context.Background(), time.Millisecond)
				}
				r := bulrushlug.NewRequest(fmt.Sprint(i, "-", n), bulrushlug.WithCall("POST", "/", "", make([]byte, n)))
				err := k.Dispatch(c, bulrushlug.NewCandidate("vm", a), r, discard{})
				if c.Err() != nil && n%4 != 1 {
					t.Errorf("call %d of worker %d got no response: %v", n, i, err)
				}
				stop()
			}
		})
	}
	w.Wait()
}

// certificates creates a certificate authority and returns the TLS configuration of one process.
func certificates(t *testing.T, vm string) func() *tls.Config {
	d := t.TempDir()
	a, err := issuer.New(d)
	if err == nil {
		err = a.Issue(vm)
	}
	if err != nil {
		t.Fatal(err)
	}
	c, err := cert.New(filepath.Join(d, vm+".pem"), filepath.Join(d, vm+"-key.pem"), filepath.Join(d, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return c.Config
}

// TestMutualTLS guards against calls from peers without a certificate of the same authority.
func TestMutualTLS(t *testing.T) {
	ran := 0
	g := bulrushlug.StageFunc(func(context.Context, *bulrushlug.Request, bulrushlug.Sink) error {
		ran++
		return nil
	})
	own := certificates(t, "vm-1")
	a := listen(t, g, own)
	for name, x := range map[string]struct {
		tls  func() *tls.Config
		runs bool
	}{
		"same authority":    {tls: own, runs: true},
		"another authority": {tls: certificates(t, "vm-1")},
		"no certificate":    {tls: func() *tls.Config { return &tls.Config{RootCAs: own().RootCAs, ServerName: "bulrushlug"} }},
		"no TLS":            {},
	} {
		t.Run(name, func(t *testing.T) {
			ran = 0
			k := rpccli.New(clock.New(), x.tls)
			defer func() { _ = k.Close() }()
			c, stop := context.WithTimeout(context.Background(), 5*time.Second)
			defer stop()
			r := bulrushlug.NewRequest("r", bulrushlug.WithCall("POST", "/", "", nil))
			err := k.Dispatch(c, bulrushlug.NewCandidate("vm-1", a), r, discard{})
			if (err == nil) != x.runs || (ran == 1) != x.runs {
				t.Errorf("ran %d times, error %v", ran, err)
			}
		})
	}
}

// TestCallersLeave has the caller of a request leave while another process works for it: the work ends there.
func TestCallersLeave(t *testing.T) {
	const bound = 500 * time.Millisecond
	for name, x := range map[string]struct{ parts int }{
		"before the response":       {},
		"in the middle of response": {parts: 3},
	} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan time.Time, 1)
			a := listen(t, bulrushlug.StageFunc(func(c context.Context, _ *bulrushlug.Request, s bulrushlug.Sink) error {
				for range x.parts {
					if err := s.Write(make([]byte, 100)); err != nil {
						return err
					}
				}
				close(begun)
				<-c.Done()
				ended <- time.Now()
				return c.Err()
			}), nil)
			k := rpccli.New(clock.New(), nil)
			defer func() { _ = k.Close() }()
			c, stop := context.WithCancel(t.Context())
			defer stop()
			done := make(chan error, 1)
			go func() {
				done <- k.Dispatch(c, bulrushlug.NewCandidate("vm", a), bulrushlug.NewRequest("r", bulrushlug.WithCall("POST", "/", "", nil)), discard{})
			}()
			<-begun
			left := time.Now()
			stop()
			if err := <-done; bulrushlug.KindOf(err) != bulrushlug.KindCancelled {
				t.Errorf("the call ended with %v", err)
			}
			select {
			case n := <-ended:
				if d := n.Sub(left); d > bound {
					t.Errorf("the work ended %v after the caller had left", d)
				}
			case <-time.After(10 * time.Second):
				t.Error("the work goes on")
			}
		})
	}
}
