// Package engine is the HTTP client of the model engine on an agent's VM.
package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/dial"
	"bulrushlug.dev/bulrushlug/memory"
	"bulrushlug.dev/bulrushlug/stream"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	controlTimeout = 2 * time.Second // Timeout of load reports and load commands.
	bufferBytes    = 64 * 1024       // Bytes of a response without events that are read at once; also the limit on error bodies and load reports.
	maxHeadBytes   = 64 << 10        // Bytes of the heads of one response.
	eventMemory    = 8 << 20         // Bytes of the incomplete events of all responses.
)

var doneEvent = []byte("data: [DONE]")

// Client calls one engine over HTTP.
type Client struct {
	base    string // URL without a trailing slash.
	client  *http.Client
	control *http.Client // For load reports and load commands.
	memory  *memory.Budget
}

// New returns the client of the engine at URL u, which has no trailing slash.
func New(u string) *Client {
	// A stale response on a reused connection would pass for the next one: engines need not repeat identifiers.
	t := &http.Transport{DialContext: dial.New(net.Dialer{}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		base:    u,
		client:  &http.Client{Transport: t},
		control: &http.Client{Transport: t, Timeout: controlTimeout},
		memory:  memory.New(eventMemory),
	}
}

// Run sends r to the engine and relays the response; KindUnplaceable means that r did not run.
func (e *Client) Run(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink) error {
	var connected bool
	c = httptrace.WithClientTrace(c, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	q, err := http.NewRequestWithContext(c, r.Method(), e.base+r.Path(), bytes.NewReader(r.Body()))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, r.Path(), err)
	}
	q.Header.Set("Content-Type", r.ContentType())
	q.Header.Set("X-Request-Id", r.ID())
	if r.ResumeFrom() > 0 {
		q.Header.Set("X-Resume-From", strconv.FormatUint(r.ResumeFrom(), 10))
	}
	a, err := e.client.Do(q)
	if err != nil {
		return noResponse(c, connected, err)
	}
	defer func() { _ = a.Body.Close() }()
	return e.relay(c, a, s)
}

// noResponse classifies the error of a call without a response; without a connection the request can't have run.
func noResponse(c context.Context, connected bool, err error) error {
	switch {
	case !connected:
		return bulrushlug.WrapError(bulrushlug.KindUnplaceable, "engine", err)
	case c.Err() != nil:
		return c.Err()
	}
	return bulrushlug.WrapError(bulrushlug.KindUncertain, "engine", err)
}

func (e *Client) relay(c context.Context, a *http.Response, s bulrushlug.Sink) error {
	if a.StatusCode >= http.StatusInternalServerError {
		b, _ := io.ReadAll(io.LimitReader(a.Body, bufferBytes))
		return bulrushlug.Errorf(bulrushlug.KindBroken, "engine: status %d: %s", a.StatusCode, bytes.TrimSpace(b))
	}
	if !bulrushlug.IsFinalStatus(a.StatusCode) {
		return bulrushlug.Errorf(bulrushlug.KindBroken, "engine: a response has status %q", a.Status)
	}
	t := a.Header.Get("Content-Type")
	if err := s.Head(a.StatusCode, t); err != nil {
		return err
	}
	if strings.HasPrefix(t, "text/event-stream") {
		return e.relayEvents(c, a.Body, s)
	}
	return relayBody(c, a.Body, s)
}

// relayBody relays a response that is complete at the end of the body.
func relayBody(c context.Context, b io.Reader, s bulrushlug.Sink) error {
	p := make([]byte, bufferBytes)
	for {
		n, err := b.Read(p)
		if n > 0 {
			if err := s.Write(p[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return broken(c, err)
		}
	}
}

// relayEvents relays server-sent events one by one; the response is complete only after the [DONE] event.
func (e *Client) relayEvents(c context.Context, b io.Reader, s bulrushlug.Sink) error {
	r := stream.New(b, e.memory)
	defer r.Close()
	for {
		x, err := r.Next()
		if err != nil {
			return broken(c, err)
		}
		if err := s.Write(x); err != nil {
			return err
		}
		if bytes.HasPrefix(x, doneEvent) {
			return nil
		}
	}
}

func broken(c context.Context, err error) error {
	if c.Err() != nil {
		return c.Err()
	}
	return bulrushlug.WrapError(bulrushlug.KindBroken, "engine", err)
}

// Load makes the engine serve version v of model m; it fails with KindConflict if the engine has seen a newer fencing
// token than fence.
func (e *Client) Load(c context.Context, m, v string, fence uint64) error {
	b, err := codec.JSON(&wire.Order{Model: m, Version: v, Fence: fence})
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, m, err)
	}
	q, err := http.NewRequestWithContext(c, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindInternal, m, err)
	}
	a, err := e.control.Do(q)
	if err != nil {
		return bulrushlug.WrapError(bulrushlug.KindUnplaceable, "engine", err)
	}
	defer func() { _ = a.Body.Close() }()
	switch a.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return bulrushlug.Errorf(bulrushlug.KindConflict, "engine: fencing token %d for model %s is outdated", fence, m)
	}
	return bulrushlug.Errorf(bulrushlug.KindRejected, "engine: load command: status %d", a.StatusCode)
}

// Slots returns how many requests the engine runs at once.
func (e *Client) Slots(c context.Context) (uint32, error) {
	l, err := e.report(c)
	if err != nil {
		return 0, bulrushlug.WrapError(bulrushlug.KindUnplaceable, "engine", err)
	}
	return l.Slots, nil
}

func (e *Client) report(c context.Context) (*wire.EngineLoad, error) {
	q, err := http.NewRequestWithContext(c, http.MethodGet, e.base+"/v1/load", nil)
	if err != nil {
		return nil, err
	}
	a, err := e.control.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, bufferBytes))
	if err != nil {
		return nil, err
	}
	return codec.ParseJSON[wire.EngineLoad](b)
}
