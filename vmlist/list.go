// Package vmlist is the HTTP client of the platform's VM list.
package vmlist

import (
	"context"
	"net/http"
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/wire"
)

const (
	callTimeout      = 2 * time.Second // Timeout of one HTTP call, including reading the response.
	maxResponseBytes = 8 << 20         // Largest body of a response.
)

// List calls the platform; it is safe for concurrent use.
type List struct {
	base   string // URL without a trailing slash.
	client *http.Client
}

// New returns a client of the list at the base URL u.
func New(u string) *List { return &List{base: u, client: &http.Client{Timeout: callTimeout}} }

// Members returns all running VMs, including those that are about to be removed. It fails with KindStoreDown.
func (l *List) Members(c context.Context) ([]bulrushlug.Member, error) {
	u := l.base + "/v1/vms"
	q, err := http.NewRequestWithContext(c, http.MethodGet, u, nil)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindInternal, u, err)
	}
	r, err := l.client.Do(q)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStoreDown, u, err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := bulrushlug.ReadAll(r.Body, maxResponseBytes)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStoreDown, u, err)
	}
	if r.StatusCode != http.StatusOK {
		return nil, bulrushlug.Errorf(bulrushlug.KindStoreDown, "%s: status %d", u, r.StatusCode)
	}
	m, err := codec.ParseJSON[wire.Members](b)
	if err != nil {
		return nil, bulrushlug.WrapError(bulrushlug.KindStoreDown, u, err)
	}
	var a []bulrushlug.Member
	for _, x := range m.Members {
		a = append(a, codec.DecodeMember(x))
	}
	return a, nil
}
