// Package authn binds requests to the organisation whose key came with them.
package authn

import (
	"context"
	"maps"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/match"
)

// Filter looks up keys in the configuration.
type Filter struct{ source bulrushlug.ConfigSource }

// New returns a filter over the configuration in f.
func New(f bulrushlug.ConfigSource) *Filter { return &Filter{source: f} }

// Pass refuses requests without a valid key, but for those on open routes, which are bound only by a valid one.
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
		return bulrushlug.Errorf(bulrushlug.KindStale, "this process can't confirm that its keys are current")
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

// Authenticate returns the organisation and the identifier of key k.
func Authenticate(f *bulrushlug.Config, k string) (organisation, id string, err error) {
	if k == "" {
		return "", "", bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "no key came with the request")
	}
	organisation, id, ok := f.Owner(bulrushlug.HashKey(k))
	if !ok {
		return "", "", bulrushlug.Errorf(bulrushlug.KindUnauthenticated, "the key is unknown or withdrawn")
	}
	return organisation, id, nil
}

// CheckModelAccess returns an error if model m does not exist or is not open to organisation o.
func CheckModelAccess(f *bulrushlug.Config, o, m string) error {
	x, ok := f.Model(m)
	if !ok {
		return bulrushlug.Errorf(bulrushlug.KindUnknownModel, "the model %q does not exist", m)
	}
	g, ok := f.Organisation(o)
	if !ok || !match.Labels(x.Organisations(), with(g.Labels(), "organisation", o)) ||
		!match.Labels(g.Models(), with(x.Labels(), "model", m)) {
		return bulrushlug.Errorf(bulrushlug.KindForbidden, "the model %q is not open to %s", m, o)
	}
	return nil
}

// with returns the labels l and one more.
func with(l map[string]string, k, v string) map[string]string {
	m := map[string]string{}
	maps.Copy(m, l)
	m[k] = v
	return m
}
