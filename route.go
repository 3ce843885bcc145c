package bulrushlug

import "slices"

// Route leads a path prefix to a plain service; values are immutable.
type Route struct {
	name       string   // Name of the service.
	prefix     string   // Starts with a slash.
	open       bool     // No key is needed.
	repeatable []string // HTTP methods whose calls may run twice.
}

// NewRoute returns the route from prefix p to service n.
func NewRoute(n, p string, open bool, m []string) Route {
	return Route{name: n, prefix: p, open: open, repeatable: m}
}

// Name returns the name of the service.
func (r Route) Name() string { return r.name }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Open reports whether the route needs no key.
func (r Route) Open() bool { return r.open }

// Methods returns the methods whose calls may run twice.
func (r Route) Methods() []string { return r.repeatable }

// Repeatable reports whether calls with method m may run twice.
func (r Route) Repeatable(m string) bool { return slices.Contains(r.repeatable, m) }
