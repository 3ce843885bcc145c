// Package plain is the HTTP client of a plain HTTP service on an agent's VM.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/dial"
)

const (
	bufferBytes  = 32 * 1024 // Size of the read buffer of one response.
	maxHeadBytes = 64 << 10  // Bytes of the heads of one response.
)

// Client calls one plain service over HTTP.
type Client struct {
	base   string       // URL without a trailing slash.
	client *http.Client // Reuses no connections: net/http retries some calls on those, and a stale response would pass for the next one.
}

// New returns the client of the service at URL u, which has no trailing slash.
func New(u string) *Client {
	return &Client{base: u, client: &http.Client{
		Transport:     &http.Transport{DialContext: dial.New(net.Dialer{}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run sends r to the service and relays the response; KindUnplaceable means that r did not run, KindUncertain that it may
// have.
func (p *Client) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	var connected bool
	t := httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	q, err := http.NewRequestWithContext(t, r.Method(), p.base+r.Path(), bytes.NewReader(r.Body()))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, r.Path(), err)
	}
	q.Header.Set("Content-Type", r.ContentType())
	q.Header.Set("X-Request-Id", r.ID())
	q.Header.Set("X-Organisation", r.Organisation())
	a, err := p.client.Do(q)
	switch {
	case err != nil && !connected:
		return bulrushlug.WrapError(bulrushlug.KindUnplaceable, r.Route(), err)
	case err != nil:
		return bulrushlug.WrapError(bulrushlug.KindUncertain, r.Route(), err)
	}
	defer func() { _ = a.Body.Close() }()
	if !bulrushlug.IsFinalStatus(a.StatusCode) {
		return bulrushlug.Errorf(bulrushlug.KindUncertain, "%s: a response has status %q", r.Route(), a.Status)
	}
	return relay(a, s)
}

func relay(a *http.Response, s bulrushlug.Sink) error {
	if err := s.Head(a.StatusCode, a.Header.Get("Content-Type")); err != nil {
		return err
	}
	b := make([]byte, bufferBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			if err := s.Write(b[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return bulrushlug.WrapError(bulrushlug.KindBroken, "service", err)
		}
	}
}
