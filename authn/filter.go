// Package authn authenticates requests by their API key and binds them to its organisation.
package authn

import (
	"context"
	"maps"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/match"
)

// Filter looks up API keys in the configuration.
type Filter struct{ source bulrushlug.ConfigSource }

// New returns a filter that looks up keys in the configuration of f.
func New(f bulrushlug.ConfigSource) *Filter { return &Filter{source: f} }

// Pass refuses requests without a valid key, except on open routes, where a request without one stays anonymous.
func (a *Filter) Pass(c context.Context, r *bulrushlug.Request, s bulrushlug.Sink, n bulrushlug.Stage) error {
	f := a.source.Config()
	if r.Route() != "" {
		if t, ok := f.RouteNamed(r.Route()); ok && t.Open() {
			o, i, err := Authenticate(f, r.Key())
			if err != nil {
				o, i = "", ""
			}
			r.Authenticate(o, i)
			return n.Run(c, r, s)
		}
	}
	if !a.source.Fresh() {
		return bulrushlug.Errorf(bulrushlug.KindStale, "the configuration of this process is too old to check API keys")
	}
	o, i, err := Authenticate(f, r.Key())
	if err != nil {
		return err
	}
	r.Authenticate(o, i)
	if r.Model() != "" {
		if err := CheckModelAccess(f, o, r.Model()); err != nil {
			return err
		}
	}
	return n.Run(c, r, s)
}

// Authenticate returns the organisation and the identifier of key k; it fails with KindUnauthenticated if k is empty,
// unknown or withdrawn.
func Authenticate(f *bulrushlug.Config, k string) (organisation, id string, err error) {
	if k == "" {
		return "", "", bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "no key in the request")
	}
	organisation, id, ok := f.KeyOwner(bulrushlug.HashKey(k))
	if !ok {
		return "", "", bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the API key is unknown or withdrawn")
	}
	return organisation, id, nil
}

// CheckModelAccess fails with KindUnknownModel if model m does not exist, and with KindForbidden if the selectors of m
// and of organisation o do not both match.
func CheckModelAccess(f *bulrushlug.Config, o, m string) error {
	x, ok := f.Model(m)
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnknownModel, "model %q does not exist", m)
	}
	g, ok := f.Organisation(o)
	if !ok || !match.Matches(x.Organisations(), withLabel(g.Labels(), "organisation", o)) ||
		!match.Matches(g.Models(), withLabel(x.Labels(), "model", m)) {
		return bulrushlug.Errorf(bulrushlug.KindForbidden, "model %q is not available to organisation %s", m, o)
	}
	return nil
}

// withLabel returns a copy of the labels l with label k set to v.
func withLabel(l map[string]string, k, v string) map[string]string {
	m := map[string]string{}
	maps.Copy(m, l)
	m[k] = v
	return m
}
