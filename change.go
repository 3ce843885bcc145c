package bulrushlug

import "time"

// Change is one entry of the configuration's change log; it holds exactly one entity.
type Change struct {
	revision     uint64 // Position in the change log, starting at 1.
	id           string // Chosen by the writer, who uses it to find out whether a write with a lost response took effect.
	author       string // Who requested the change.
	createdAt    time.Time
	removed      bool // The change deletes the entity instead of setting it.
	organisation *Organisation
	model        *Model
	vm           *VM
	route        *Route
	ring         *Ring
}

// Entity is the set of types that a change can set or delete.
type Entity interface {
	Organisation | Model | VM | Route | Ring
}

// NewChange returns a change that sets e and has no revision yet.
func NewChange[E Entity](id, author string, e E) Change {
	c := Change{id: id, author: author, createdAt: time.Now()}
	switch x := any(e).(type) {
	case Organisation:
		c.organisation = &x
	case Model:
		c.model = &x
	case VM:
		c.vm = &x
	case Route:
		c.route = &x
	case Ring:
		c.ring = &x
	}
	return c
}

// WithRevision returns a copy at position n of the change log.
func (c Change) WithRevision(n uint64) Change {
	c.revision = n
	return c
}

// WithID returns a copy with identifier i.
func (c Change) WithID(i string) Change {
	c.id = i
	return c
}

// WithTime returns a copy with creation time t.
func (c Change) WithTime(t time.Time) Change {
	c.createdAt = t
	return c
}

// WithRemoved returns a copy that deletes the entity if v is true.
func (c Change) WithRemoved(v bool) Change {
	c.removed = v
	return c
}

// Revision returns the position in the change log; zero if it has none yet.
func (c Change) Revision() uint64 { return c.revision }

// ID returns the identifier that the writer chose.
func (c Change) ID() string { return c.id }

// Author returns who requested the change.
func (c Change) Author() string { return c.author }

// Time returns the creation time of the change.
func (c Change) Time() time.Time { return c.createdAt }

// Removed reports whether the change deletes the entity.
func (c Change) Removed() bool { return c.removed }

// Organisation returns the organisation of the change, or nil.
func (c Change) Organisation() *Organisation { return c.organisation }

// Model returns the model of the change, or nil.
func (c Change) Model() *Model { return c.model }

// VM returns the VM of the change, or nil.
func (c Change) VM() *VM { return c.vm }

// Route returns the route of the change, or nil.
func (c Change) Route() *Route { return c.route }

// Ring returns the ring of the change, or nil.
func (c Change) Ring() *Ring { return c.ring }

// EntityKey returns the entity's key, which is unique across all entity types.
func (c Change) EntityKey() string {
	switch {
	case c.organisation != nil:
		return "organisation/" + c.organisation.name
	case c.model != nil:
		return "model/" + c.model.name
	case c.vm != nil:
		return "vm/" + c.vm.name
	case c.route != nil:
		return "route/" + c.route.name
	case c.ring != nil:
		return "ring"
	}
	return ""
}
