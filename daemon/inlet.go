package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/crowd"
	"bulrushlug.dev/bulrushlug/inlet"
	"bulrushlug.dev/bulrushlug/lines"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/pace"
	"bulrushlug.dev/bulrushlug/platform"
)

// Limits of the ports for probes and metrics, which only the platform calls.
const (
	probeConnections = 16
	probeHeadBytes   = 4 << 10
	probeMemory      = 1 << 20
	probeTimeout     = 5 * time.Second // For a response, and for an idle connection.
	probeHeadTimeout = time.Second
	addressInterval  = 200 * time.Millisecond // Between two tries to listen on an address that is in use.
	refusalLines     = 1                      // Lines a second for each kind of refusal.
)

// newInlet returns an inlet for n connections, whose heads have at most m bytes together, and callers keep the bounds of f.
func (s *Daemon) newInlet(n, m int, f func() bulrushlug.Bounds) *inlet.Inlet {
	p := func() pace.Pace {
		x := s.settings.Load()
		return pace.New(f().HeaderTimeout(), x.BodyGrace(), x.MinBodyRate(), x.ResponseStall())
	}
	return inlet.New(crowd.New(n), memory.New(m), f, p, platform.IdentifierHeader, s.recordRefusal)
}

// recordRefusal counts something of a caller that the process refused, and writes a line about some of them.
func (s *Daemon) recordRefusal(reason string) {
	s.refusals.Add(reason, 1)
	l, _ := s.refusalLimiters.LoadOrStore(reason, lines.New(refusalLines))
	if n, ok := l.(*lines.Limiter).Take(); ok {
		_ = s.logger.Log("event", "callerRefused", "reason", reason, "omitted", n)
	}
}

// probeServer returns a server that serves h to the platform.
func (s *Daemon) probeServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, WriteTimeout: probeTimeout}
}

// listenProbes serves r on address a until r is closed. It waits for an address that is in use, until c ends.
func (s *Daemon) listenProbes(c context.Context, r *http.Server, a string) error {
	l, err := net.Listen("tcp", a)
	if errors.Is(err, syscall.EADDRINUSE) {
		_ = s.logger.Log("event", "addressInUse", "address", a)
	}
	for ; errors.Is(err, syscall.EADDRINUSE); l, err = net.Listen("tcp", a) {
		if e := bulrushlug.Sleep(c, addressInterval); e != nil {
			return e
		}
	}
	if err != nil {
		return err
	}
	b := bulrushlug.NewBounds(probeHeadBytes, 0, probeHeadTimeout, probeTimeout)
	i := s.newInlet(probeConnections, probeMemory, func() bulrushlug.Bounds { return b })
	i.Attach(r)
	return r.Serve(i.Listener(l))
}
