// Package demo runs a small fleet in one process, on simulated platform services, and prints what it does.
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
	credential    = "demo-operator"
	peerSecret    = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	readyTimeout  = 30 * time.Second
	pollInterval  = 200 * time.Millisecond
	engineSlots   = 8
	tokenInterval = 15 * time.Millisecond
	prefillTime   = 30 * time.Millisecond
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Demo is a fleet of two entries and two agents in two availability zones.
type Demo struct {
	out     io.Writer
	folder  string
	store   string // URL of the key-value service.
	vmList  string // URL of the VM list.
	list    *memvm.List
	entries []string       // URLs of the entries.
	service *simsvc.Server // Plain service behind both agents.
	logger  log.Logger
	ports   *ports.Allocator
	wait    sync.WaitGroup
}

// New returns a demonstration that prints to w.
func New(w io.Writer) *Demo {
	return &Demo{out: w, service: simsvc.New(), logger: log.NewNopLogger(), ports: ports.New()}
}

// Run starts the fleet, sends one chat request, runs one batch job and prints the events of both.
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
	return d.runScenario(c)
}

// start starts the simulated platform services, and an entry and an agent in each zone.
func (d *Demo) start(c context.Context) error {
	d.list = memvm.New(0)
	var err error
	if d.store, err = d.serveHTTP(c, simkv.New(memkv.New())); err != nil {
		return err
	}
	if d.vmList, err = d.serveHTTP(c, simvm.New(d.list)); err != nil {
		return err
	}
	for _, z := range []string{"a", "b"} {
		if err := d.startEntry(c, z); err != nil {
			return err
		}
		if err := d.startAgent(c, z); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves h on a free loopback port until c ends, and returns its URL.
func (d *Demo) serveHTTP(c context.Context, h http.Handler) (string, error) {
	a, err := d.ports.Next()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.wait.Go(func() { _ = s.Serve(l) })
	context.AfterFunc(c, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

// startEntry starts an entry with a data folder in the given zone.
func (d *Demo) startEntry(c context.Context, zone string) error {
	h, err := d.ports.Next()
	if err != nil {
		return err
	}
	d.entries = append(d.entries, "http://"+h)
	return d.startNode(c, "entry-"+zone, zone, fmt.Sprintf(`
		"role": "entry",
		"http": %q,
		"operatorHash": %q,
		"drainSeconds": 5,
		"dataFolder": %q,`, h, bulrushlug.HashKey(credential), filepath.Join(d.folder, zone)))
}

// startAgent starts an agent in the given zone, with a simulated engine and the plain service.
func (d *Demo) startAgent(c context.Context, zone string) error {
	u, err := d.serveHTTP(c, simlm.New(memlm.New(engineSlots, tokenInterval, prefillTime)))
	if err != nil {
		return err
	}
	v, err := d.serveHTTP(c, d.service)
	if err != nil {
		return err
	}
	return d.startNode(c, "agent-"+zone, zone, fmt.Sprintf(`
		"role": "agent",
		"drainSeconds": 5,
		"engine": %q,
		"services": [{"name": "tickets", "url": %q}],`, u, v))
}

// startNode starts the process n and adds it to the VM list; more holds further fields of its settings.
func (d *Demo) startNode(c context.Context, n, zone, more string) error {
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
	}`, more, n, zone, a, d.store, d.vmList, peerSecret)
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
