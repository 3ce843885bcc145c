package bulrushlug

import (
	"maps"
	"slices"
	"strings"
)

// Config is a snapshot of the whole configuration at one revision; values are immutable.
type Config struct {
	revision   uint64              // Number of changes applied so far.
	latest     map[string]Change   // Latest change of each existing entity, by entity key.
	keysByHash map[string]keyOwner // Owner of each API key by the key's hash; includes withdrawn keys.
	routes     []Route             // Sorted with the longest prefix first.
}

type keyOwner struct {
	organisation string // Non-empty.
	id           string // Identifier of the key within the organisation.
	withdrawn    bool
}

// NewConfig returns the empty configuration at revision 0.
func NewConfig() *Config {
	return &Config{latest: map[string]Change{}, keysByHash: map[string]keyOwner{}}
}

// RestoreConfig rebuilds the configuration at revision n from the latest change of each entity.
func RestoreConfig(n uint64, l []Change) *Config {
	f := NewConfig()
	for _, c := range l {
		f.latest[c.EntityKey()] = c
	}
	f.revision = n
	f.index()
	return f
}

// Apply returns the configuration after c. It fails with KindConflict unless c has the next revision.
func (f *Config) Apply(c Change) (*Config, error) {
	if c.revision != f.revision+1 {
		return nil, Errorf(KindConflict, "change %d does not follow revision %d", c.revision, f.revision)
	}
	g := &Config{revision: c.revision, latest: maps.Clone(f.latest), keysByHash: f.keysByHash, routes: f.routes}
	if c.ring != nil {
		r := c.ring.applyTo(f.Ring())
		c.ring = &r
	}
	if c.removed {
		delete(g.latest, c.EntityKey())
	} else {
		g.latest[c.EntityKey()] = c
	}
	if c.organisation != nil || c.route != nil {
		g.index()
	}
	return g, nil
}

// index rebuilds the lookup tables for keys and routes.
func (f *Config) index() {
	f.keysByHash, f.routes = map[string]keyOwner{}, nil
	for _, c := range f.latest {
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
		f.keysByHash[k.hash] = keyOwner{organisation: o.name, id: k.id, withdrawn: k.withdrawn}
	}
}

// Revision returns the number of changes applied so far.
func (f *Config) Revision() uint64 { return f.revision }

// KeyOwner looks up the API key with hash h and returns its organisation and identifier; withdrawn keys are not found.
func (f *Config) KeyOwner(h string) (organisation, id string, ok bool) {
	w, ok := f.keysByHash[h]
	if !ok || w.withdrawn {
		return "", "", false
	}
	return w.organisation, w.id, true
}

// Organisation returns the organisation called n.
func (f *Config) Organisation(n string) (Organisation, bool) {
	c, ok := f.latest["organisation/"+n]
	if !ok {
		return Organisation{}, false
	}
	return *c.organisation, true
}

// Model returns the model called n.
func (f *Config) Model(n string) (Model, bool) {
	c, ok := f.latest["model/"+n]
	if !ok {
		return Model{}, false
	}
	return *c.model, true
}

// VM returns the operator settings of the VM called n, or defaults if there are none.
func (f *Config) VM(n string) VM {
	c, ok := f.latest["vm/"+n]
	if !ok {
		return VM{name: n}
	}
	return *c.vm
}

// Ring returns the current ring; its epoch is zero if none was ever set.
func (f *Config) Ring() Ring {
	c, ok := f.latest["ring"]
	if !ok {
		return Ring{}
	}
	return *c.ring
}

// Route returns the route with the longest prefix that matches path p, on any host.
func (f *Config) Route(p string) (Route, bool) {
	for _, r := range f.routes {
		if strings.HasPrefix(p, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteFor returns the route of host h with the longest prefix that matches path p.
func (f *Config) RouteFor(h, p string) (Route, bool) {
	for _, r := range f.routes {
		if strings.EqualFold(r.host, h) && strings.HasPrefix(p, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Keyless reports whether no request needs a key: there are no organisations, and all routes are open.
func (f *Config) Keyless() bool {
	for _, c := range f.latest {
		if c.organisation != nil || c.route != nil && !c.route.open {
			return false
		}
	}
	return true
}

// HasLots reports whether any route of host h accepts lots.
func (f *Config) HasLots(h string) bool {
	return slices.ContainsFunc(f.routes, func(r Route) bool {
		return r.traffic == TrafficLot && strings.EqualFold(r.host, h)
	})
}

// RouteOfLot returns the route of l: that of its name, or, as operators may rename a route, the one that takes lots at the
// path of its items.
func (f *Config) RouteOfLot(l Lot) (Route, bool) {
	if r, ok := f.RouteNamed(l.route); ok || len(l.items) == 0 {
		return r, ok
	}
	r, ok := f.RouteFor(Hostname(l.host), l.items[0].path)
	return r, ok && r.traffic == TrafficLot
}

// RouteNamed returns the route called n.
func (f *Config) RouteNamed(n string) (Route, bool) {
	c, ok := f.latest["route/"+n]
	if !ok {
		return Route{}, false
	}
	return *c.route, true
}

// Models returns all models, sorted by name.
func (f *Config) Models() []Model {
	var l []Model
	for _, c := range f.latest {
		if c.model != nil {
			l = append(l, *c.model)
		}
	}
	slices.SortFunc(l, func(a, b Model) int { return strings.Compare(a.name, b.name) })
	return l
}

// LatestChange returns the latest change of the entity with key e.
func (f *Config) LatestChange(e string) (Change, bool) {
	c, ok := f.latest[e]
	return c, ok
}

// Entities returns the latest change of each existing entity, sorted by entity key.
func (f *Config) Entities() []Change {
	l := slices.Collect(maps.Values(f.latest))
	slices.SortFunc(l, func(a, b Change) int { return strings.Compare(a.EntityKey(), b.EntityKey()) })
	return l
}
