package lotsrv

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/guard"
	"bulrushlug.dev/bulrushlug/lotcli"
)

// TestSnapshot sends the entries that one process has read to another one.
func TestSnapshot(t *testing.T) {
	for name, l := range map[string][]bulrushlug.KVEntry{
		"none":     nil,
		"a few":    {bulrushlug.NewKVEntry("a", []byte("1"), 3), bulrushlug.NewKVEntry("b", []byte("2"), 4)},
		"retained": {bulrushlug.NewKVEntry("a", []byte("1"), 3).WithRetention(1500 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			s := New(nil, guard.New(log.NewNopLogger()), func(_ context.Context, operatorRevision, backendRevision uint64) ([]bulrushlug.KVEntry, uint64, uint64) {
				return l, operatorRevision + 1, backendRevision + 1
			})
			go func() { ended <- s.Run(c, o) }()
			got, m, b, err := lotcli.New().Snapshot(c, o.Addr().String(), 7, 8)
			if err != nil || !reflect.DeepEqual(got, l) || m != 8 || b != 9 {
				t.Errorf("%v at revisions %d and %d, error %v", got, m, b, err)
			}
			stop()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestPanic has the handler of one call panic: the call fails, and the process serves the next one.
func TestPanic(t *testing.T) {
	o, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	s := New(nil, guard.New(log.NewNopLogger()), func(_ context.Context, operatorRevision, _ uint64) ([]bulrushlug.KVEntry, uint64, uint64) {
		if operatorRevision == 0 {
			panic("no revision")
		}
		return nil, 2, 3
	})
	go func() { ended <- s.Run(c, o) }()
	k := lotcli.New()
	if _, _, _, err := k.Snapshot(c, o.Addr().String(), 0, 0); err == nil {
		t.Error("the call has no error")
	}
	if _, m, b, err := k.Snapshot(c, o.Addr().String(), 1, 0); err != nil || m != 2 || b != 3 {
		t.Errorf("the next call: revisions %d and %d, error %v", m, b, err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
