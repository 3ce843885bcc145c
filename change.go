package bulrushlug

import "time"

// Change is one numbered change of the configuration; it holds exactly one entity.
type Change struct {
	revision     uint64 // Position in the history, from 1.
	id           string // Chosen by the writer; settles writes whose answer was lost.
	author       string // Whoever asked for the change.
	at           time.Time
	removed      bool // The entity is removed, not put.
	organisation *Organisation
	model        *Model
	vm           *VM
	route        *Route
	ring         *Ring
}

// Entity is what one change puts or removes.
type Entity interface {
	Organisation | Model | VM | Route | Ring
}

// NewChange returns an unnumbered change that puts e.
func NewChange[E Entity](id, author string, e E) Change {
	c := Change{id: id, author: author, at: time.Now()}
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

// WithRevision returns a copy at position n.
func (c Change) WithRevision(n uint64) Change {
	c.revision = n
	return c
}

// WithID returns a copy with identifier i.
func (c Change) WithID(i string) Change {
	c.id = i
	return c
}

// WithTime returns a copy made at t.
func (c Change) WithTime(t time.Time) Change {
	c.at = t
	return c
}

// WithRemoved returns a copy that removes the entity if v is true.
func (c Change) WithRemoved(v bool) Change {
	c.removed = v
	return c
}

// Revision returns the position in the history.
func (c Change) Revision() uint64 { return c.revision }

// ID returns the identifier that the writer chose.
func (c Change) ID() string { return c.id }

// Author returns whoever asked for the change.
func (c Change) Author() string { return c.author }

// Time returns when the change was made.
func (c Change) Time() time.Time { return c.at }

// Removed reports whether the entity is removed.
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

// Entity returns a name for the entity that is unique over all kinds.
func (c Change) Entity() string {
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
