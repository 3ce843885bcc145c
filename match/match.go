// Package match evaluates label selectors in Kubernetes syntax.
package match

import (
	"maps"

	"k8s.io/apimachinery/pkg/labels"

	"bulrushlug.dev/bulrushlug"
)

// Validate returns an error of KindBadRequest if s is not a valid label selector.
func Validate(s string) error {
	if _, err := labels.Parse(s); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, "selector", err)
	}
	return nil
}

// Matches reports whether selector s matches the labels l; an empty selector matches everything, an invalid one nothing.
func Matches(s string, l map[string]string) bool {
	if s == "" {
		return true
	}
	p, err := labels.Parse(s)
	return err == nil && p.Matches(labels.Set(l))
}

// VMLabels returns the labels of VM v: those set by operators, and the built-in labels vm, zone and region.
func VMLabels(v bulrushlug.VM, zone, region string) map[string]string {
	m := map[string]string{}
	maps.Copy(m, v.Labels())
	m["vm"], m["zone"], m["region"] = v.Name(), zone, region
	return m
}

// CheckPlacement returns an error of KindUnplaceable if the selectors in configuration f exclude VM v for request r.
func CheckPlacement(f *bulrushlug.Config, r *bulrushlug.Request, v bulrushlug.VM, zone, region string) error {
	l := VMLabels(v, zone, region)
	if r.Organisation() != "" {
		o, ok := f.Organisation(r.Organisation())
		if !ok || !Matches(o.Selector(), l) {
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "organisation %s is unknown or its selector excludes VM %s", r.Organisation(), v.Name())
		}
	}
	if r.Model() != "" {
		m, ok := f.Model(r.Model())
		if !ok || !Matches(m.Selector(), l) {
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "model %s is unknown or its selector excludes VM %s", r.Model(), v.Name())
		}
	}
	return nil
}
