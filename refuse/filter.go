// Package refuse counts refused requests by organisation, route and cause.
package refuse

import (
	"context"
	"expvar"
	"strings"
	"sync"

	"bulrushlug.dev/bulrushlug"
)

const (
	maxNames = 256 // Combinations that are counted apart.
	rest     = "others"
)

// Filter counts the requests that end with an error after which callers may retry.
type Filter struct {
	counts *expvar.Map
	mu     sync.Mutex
	names  map[string]bool // At most maxNames.
}

// New returns a filter that counts in m.
func New(m *expvar.Map) *Filter { return &Filter{counts: m, names: map[string]bool{}} }

// Pass runs r and counts its refusal; later filters may have set its organisation.
func (f *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	err := n.Run(c, r, s)
	if err != nil {
		if k := bulrushlug.KindOf(err); k.Response().Retryable() {
			f.counts.Add(f.name(strings.Join([]string{r.Organisation(), r.TargetRoute().Name(), k.String()}, "/")), 1)
		}
	}
	return err
}

// name returns v, or rest if maxNames others are counted already.
func (f *Filter) name(v string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.names[v] && len(f.names) >= maxNames {
		return rest
	}
	f.names[v] = true
	return v
}
