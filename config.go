package bulrushlug

import (
	"maps"
	"slices"
	"strings"
)

// Config is the whole configuration at one revision; values are immutable.
type Config struct {
	revision uint64            // Number of changes applied.
	last     map[string]Change // Last change by entity, removals left out.
	keys     map[string]owner  // Owner of each key by hash, withdrawn keys included.
	routes   []Route           // Longest prefix first.
}

type owner struct {
	organisation string // Never empty.
	id           string // Identifier of the key.
	withdrawn    bool
}

// NewConfig returns the empty configuration at revision 0.
func NewConfig() *Config {
	return &Config{last: map[string]Change{}, keys: map[string]owner{}}
}

// RestoreConfig returns the configuration at revision n that the given entities make up.
func RestoreConfig(n uint64, l []Change) *Config {
	f := NewConfig()
	for _, c := range l {
		f.last[c.Entity()] = c
	}
	f.revision = n
	f.index()
	return f
}

// Apply returns the configuration after c, which must have the next revision.
func (f *Config) Apply(c Change) (*Config, error) {
	if c.revision != f.revision+1 {
		return nil, Errorf(KindConflict, "change %d does not follow revision %d", c.revision, f.revision)
	}
	g := &Config{revision: c.revision, last: maps.Clone(f.last), keys: f.keys, routes: f.routes}
	if c.ring != nil {
		r := c.ring.after(f.Ring())
		c.ring = &r
	}
	if c.removed {
		delete(g.last, c.Entity())
	} else {
		g.last[c.Entity()] = c
	}
	if c.organisation != nil || c.route != nil {
		g.index()
	}
	return g, nil
}

// index rebuilds the look-up tables.
func (f *Config) index() {
	f.keys, f.routes = map[string]owner{}, nil
	for _, c := range f.last {
		switch {
		case c.organisation != nil:
			f.indexKeys(*c.organisation)
		case c.route != nil:
			f.routes = append(f.routes, *c.route)
		}
	}
	slices.SortFunc(f.routes, func(a, b Route) int {
		if n := len(b.prefix) - len(a.prefix); n != 0 {
			return n
		}
		return strings.Compare(a.name, b.name)
	})
}

func (f *Config) indexKeys(o Organisation) {
	for _, k := range o.keys {
		f.keys[k.hash] = owner{organisation: o.name, id: k.id, withdrawn: k.withdrawn}
	}
}

// Revision returns the number of changes applied.
func (f *Config) Revision() uint64 { return f.revision }

// Owner returns the organisation and identifier of the valid key with hash h.
func (f *Config) Owner(h string) (organisation, id string, ok bool) {
	w, ok := f.keys[h]
	if !ok || w.withdrawn {
		return "", "", false
	}
	return w.organisation, w.id, true
}

// Organisation returns the organisation called n.
func (f *Config) Organisation(n string) (Organisation, bool) {
	c, ok := f.last["organisation/"+n]
	if !ok {
		return Organisation{}, false
	}
	return *c.organisation, true
}

// Model returns the model called n.
func (f *Config) Model(n string) (Model, bool) {
	c, ok := f.last["model/"+n]
	if !ok {
		return Model{}, false
	}
	return *c.model, true
}

// VM returns what operators say of the VM called n.
func (f *Config) VM(n string) VM {
	c, ok := f.last["vm/"+n]
	if !ok {
		return VM{name: n}
	}
	return *c.vm
}

// Ring returns the current ring; its epoch is zero before the first.
func (f *Config) Ring() Ring {
	c, ok := f.last["ring"]
	if !ok {
		return Ring{}
	}
	return *c.ring
}

// Route returns the route with the longest prefix of p.
func (f *Config) Route(p string) (Route, bool) {
	for _, r := range f.routes {
		if strings.HasPrefix(p, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteFor returns the route of host h with the longest prefix of p.
func (f *Config) RouteFor(h, p string) (Route, bool) {
	for _, r := range f.routes {
		if strings.EqualFold(r.host, h) && strings.HasPrefix(p, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasLots reports whether a route of host h takes lots.
func (f *Config) HasLots(h string) bool {
	return slices.ContainsFunc(f.routes, func(r Route) bool {
		return r.traffic == TrafficLot && strings.EqualFold(r.host, h)
	})
}

// RouteNamed returns the route called n.
func (f *Config) RouteNamed(n string) (Route, bool) {
	c, ok := f.last["route/"+n]
	if !ok {
		return Route{}, false
	}
	return *c.route, true
}

// Models returns all models, sorted by name.
func (f *Config) Models() []Model {
	var l []Model
	for _, c := range f.last {
		if c.model != nil {
			l = append(l, *c.model)
		}
	}
	slices.SortFunc(l, func(a, b Model) int { return strings.Compare(a.name, b.name) })
	return l
}

// Last returns the change that set entity e.
func (f *Config) Last(e string) (Change, bool) {
	c, ok := f.last[e]
	return c, ok
}

// Entities returns the last change of every entity, sorted by name.
func (f *Config) Entities() []Change {
	l := slices.Collect(maps.Values(f.last))
	slices.SortFunc(l, func(a, b Change) int { return strings.Compare(a.Entity(), b.Entity()) })
	return l
}
