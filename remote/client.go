// Package remote is the HTTP client of the admin API of an entry.
package remote

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	callTimeout      = 15 * time.Second // Timeout of one command, including reading the response.
	maxResponseBytes = 64 << 20         // Largest body of a response.
)

// Client sends commands authenticated by the operator credential.
type Client struct {
	base       string // URL of an entry without a trailing slash.
	credential string
	client     *http.Client
}

// New returns a client of the entry at the base URL u.
func New(u, credential string) *Client {
	return &Client{base: strings.TrimRight(u, "/"), credential: credential, client: &http.Client{Timeout: callTimeout}}
}

// Send posts the JSON command b to the admin API path p and returns the JSON response.
//
// It fails with the kind that the entry reports, or with KindUncertain if the response was lost and the command may
// have taken effect.
func (x *Client) Send(c context.Context, p string, b []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(c, http.MethodPost, x.base+"/admin/v1/"+p, bytes.NewReader(b))
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindBadRequest, x.base, err)
	}
	q.Header.Set("Authorization", "Bearer "+x.credential)
	r, err := x.client.Do(q)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, x.base, err)
	}
	defer func() { _ = r.Body.Close() }()
	a, err := bulrushlug.ReadAll(r.Body, maxResponseBytes)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindUncertain, x.base, err)
	}
	if r.StatusCode == http.StatusOK {
		return a, nil
	}
	w, err := codec.ParseJSON[wire.Problem](a)
	if err != nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindInternal, "%s: status %d", x.base, r.StatusCode)
	}
	return nil, codec.DecodeError(w)
}
