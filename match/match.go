// Package match evaluates selectors over labels, in the syntax of Kubernetes.
package match

import (
	"maps"

	"k8s.io/apimachinery/pkg/labels"

	"bulrushlug.dev/bulrushlug"
)

// Valid returns an error if s is no selector.
func Valid(s string) error {
	if _, err := labels.Parse(s); err != nil {
		return bulrushlug.WrapError(bulrushlug.KindBadRequest, "selector", err)
	}
	return nil
}

// Labels reports whether selector s accepts the labels l; an empty selector accepts all, an invalid one none.
func Labels(s string, l map[string]string) bool {
	if s == "" {
		return true
	}
	p, err := labels.Parse(s)
	return err == nil && p.Matches(labels.Set(l))
}

// VMLabels returns the labels of VMLabels v: those that operators set and the built-in vm, zone and region.
func VMLabels(v bulrushlug.VM, zone, region string) map[string]string {
	m := map[string]string{}
	maps.Copy(m, v.Labels())
	m["vm"], m["zone"], m["region"] = v.Name(), zone, region
	return m
}

// CheckPlacement returns an error if the configuration f forbids that r runs on VM v.
func CheckPlacement(f *bulrushlug.Config, r *bulrushlug.Request, v bulrushlug.VM, zone, region string) error {
	l := VMLabels(v, zone, region)
	if r.Organisation() != "" {
		o, ok := f.Organisation(r.Organisation())
		if !ok || !Labels(o.Selector(), l) {
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "work of %s may not run on %s", r.Organisation(), v.Name())
		}
	}
	if r.Model() != "" {
		m, ok := f.Model(r.Model())
		if !ok || !Labels(m.Selector(), l) {
			return bulrushlug.Errorf(bulrushlug.KindUnplaceable, "model %s may not run on %s", r.Model(), v.Name())
		}
	}
	return nil
}
