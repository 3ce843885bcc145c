// Package demo runs a small fleet in one process and shows what it does.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/conf"
	"bulrushlug.dev/bulrushlug/memkv"
	"bulrushlug.dev/bulrushlug/memlm"
	"bulrushlug.dev/bulrushlug/memvm"
	"bulrushlug.dev/bulrushlug/node"
	"bulrushlug.dev/bulrushlug/ports"
	"bulrushlug.dev/bulrushlug/simkv"
	"bulrushlug.dev/bulrushlug/simlm"
	"bulrushlug.dev/bulrushlug/simsvc"
	"bulrushlug.dev/bulrushlug/simvm"
)

const (
	credential  = "demo-operator"
	secret      = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	readyTime   = 30 * time.Second
	readyPause  = 200 * time.Millisecond
	engineSlots = 8
	token       = 15 * time.Millisecond
	prefill     = 30 * time.Millisecond
	headerTime  = 10 * time.Second
	idleTime    = 2 * time.Minute
)

// Demo runs two entries and two agents in two availability zones, on stand-ins of the platform.
type Demo struct {
	out     io.Writer
	folder  string
	store   string // URL of the key-value service.
	vmList  string // URL of the VM list.
	list    *memvm.List
	entries []string       // URLs of the entries.
	service *simsvc.Server // Plain service beside both agents.
	logger  log.Logger
	ports   *ports.Allocator
	wait    sync.WaitGroup
}

// New returns a demonstration that writes to w.
func New(w io.Writer) *Demo {
	return &Demo{out: w, service: simsvc.New(), logger: log.NewNopLogger(), ports: ports.New()}
}

// Run starts the fleet, asks one question, runs one batch job and shows the events of both.
func (d *Demo) Run(c context.Context) error {
	f, err := os.MkdirTemp("", "bulrushlug-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(f) }()
	d.folder = f
	c, stop := context.WithCancel(c)
	defer d.wait.Wait()
	defer stop()
	if err := d.start(c); err != nil {
		return err
	}
	return d.show(c)
}

func (d *Demo) start(c context.Context) error {
	d.list = memvm.New(0)
	var err error
	if d.store, err = d.serve(c, simkv.New(memkv.New())); err != nil {
		return err
	}
	if d.vmList, err = d.serve(c, simvm.New(d.list)); err != nil {
		return err
	}
	for _, z := range []string{"a", "b"} {
		if err := d.entry(c, z); err != nil {
			return err
		}
		if err := d.agent(c, z); err != nil {
			return err
		}
	}
	return nil
}

// serve serves h on a free port and returns its URL.
func (d *Demo) serve(c context.Context, h http.Handler) (string, error) {
	a, err := d.ports.Next()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	d.wait.Go(func() { _ = s.Serve(l) })
	context.AfterFunc(c, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

func (d *Demo) entry(c context.Context, zone string) error {
	h, err := d.ports.Next()
	if err != nil {
		return err
	}
	d.entries = append(d.entries, "http://"+h)
	return d.node(c, "entry-"+zone, zone, fmt.Sprintf(`
		"role": "entry",
		"http": %q,
		"operatorHash": %q,
		"drainSeconds": 5,
		"dataFolder": %q,`, h, bulrushlug.HashKey(credential), filepath.Join(d.folder, zone)))
}

func (d *Demo) agent(c context.Context, zone string) error {
	u, err := d.serve(c, simlm.New(memlm.New(engineSlots, token, prefill)))
	if err != nil {
		return err
	}
	v, err := d.serve(c, d.service)
	if err != nil {
		return err
	}
	return d.node(c, "agent-"+zone, zone, fmt.Sprintf(`
		"role": "agent",
		"drainSeconds": 5,
		"engine": %q,
		"services": [{"name": "tickets", "url": %q}],`, u, v))
}

// node runs the process n with some more settings.
func (d *Demo) node(c context.Context, n, zone, more string) error {
	a, err := d.ports.Next()
	if err != nil {
		return err
	}
	t := fmt.Sprintf(`{%s
		"vm": %q,
		"region": "demo",
		"zone": %q,
		"listen": %q,
		"store": %q,
		"vmList": %q,
		"peerSecrets": [%q], // All processes share it.
	}`, more, n, zone, a, d.store, d.vmList, secret)
	s, err := conf.Parse(n, []byte(t))
	if err != nil {
		return err
	}
	d.list.Put(s.Member())
	x, err := node.New(s, d.logger)
	if err != nil {
		return err
	}
	d.wait.Go(func() {
		if err := x.Run(c); err != nil {
			_, _ = fmt.Fprintf(d.out, "%s: %v\n", n, err)
		}
	})
	return nil
}
