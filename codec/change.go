package codec

import (
	"time"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// EncodeChange encodes a change of the configuration.
func EncodeChange(c bulrushlug.Change) *wire.Change {
	w := &wire.Change{
		Revision: c.Revision(),
		Id:       c.ID(),
		Author:   c.Author(),
		AtMs:     uint64(c.Time().UnixMilli()),
		Removed:  c.Removed(),
	}
	switch {
	case c.Organisation() != nil:
		w.Entity = &wire.Change_Organisation{Organisation: encodeOrganisation(*c.Organisation())}
	case c.Model() != nil:
		w.Entity = &wire.Change_Model{Model: encodeModel(*c.Model())}
	case c.VM() != nil:
		v := c.VM()
		w.Entity = &wire.Change_Vm{Vm: &wire.Vm{Name: v.Name(), Labels: v.Labels(), Draining: v.Draining()}}
	case c.Route() != nil:
		r := c.Route()
		w.Entity = &wire.Change_Route{Route: &wire.Route{Name: r.Name(), Prefix: r.Prefix(), Open: r.Open(), Repeatable: r.IdempotentMethods()}}
	case c.Ring() != nil:
		w.Entity = &wire.Change_Ring{Ring: encodeRing(*c.Ring())}
	}
	return w
}

// DecodeChange decodes a change of the configuration; it fails with KindBadRequest if w has no entity.
func DecodeChange(w *wire.Change) (bulrushlug.Change, error) {
	var c bulrushlug.Change
	switch e := w.GetEntity().(type) {
	case *wire.Change_Organisation:
		c = bulrushlug.NewChange(w.Id, w.Author, decodeOrganisation(e.Organisation))
	case *wire.Change_Model:
		c = bulrushlug.NewChange(w.Id, w.Author, decodeModel(e.Model))
	case *wire.Change_Vm:
		c = bulrushlug.NewChange(w.Id, w.Author, bulrushlug.NewVM(e.Vm.GetName(), e.Vm.GetLabels(), e.Vm.GetDraining()))
	case *wire.Change_Route:
		r := e.Route
		c = bulrushlug.NewChange(w.Id, w.Author, bulrushlug.NewRoute(r.GetName(), r.GetPrefix(), r.GetOpen(), r.GetRepeatable()))
	case *wire.Change_Ring:
		c = bulrushlug.NewChange(w.Id, w.Author, decodeRing(e.Ring))
	default:
		return c, bulrushlug.Errorf(bulrushlug.KindBadRequest, "change %d has no entity", w.GetRevision())
	}
	t := time.UnixMilli(int64(w.AtMs))
	return c.WithRevision(w.Revision).WithTime(t).WithRemoved(w.Removed), nil
}

// EncodeChanges encodes changes in order.
func EncodeChanges(l []bulrushlug.Change) []*wire.Change {
	var m []*wire.Change
	for _, c := range l {
		m = append(m, EncodeChange(c))
	}
	return m
}

// DecodeChanges decodes changes in order; it fails on the first change without an entity.
func DecodeChanges(l []*wire.Change) ([]bulrushlug.Change, error) {
	var m []bulrushlug.Change
	for _, w := range l {
		c, err := DecodeChange(w)
		if err != nil {
			return nil, err
		}
		m = append(m, c)
	}
	return m, nil
}

func encodeOrganisation(o bulrushlug.Organisation) *wire.Organisation {
	w := &wire.Organisation{
		Name:     o.Name(),
		Labels:   o.Labels(),
		Rate:     o.Rate(),
		Burst:    o.Burst(),
		Selector: o.Selector(),
		Models:   o.Models(),
	}
	for _, k := range o.Keys() {
		w.Keys = append(w.Keys, &wire.Key{Id: k.ID(), Hash: k.Hash(), Withdrawn: k.Withdrawn()})
	}
	return w
}

func decodeOrganisation(w *wire.Organisation) bulrushlug.Organisation {
	o := bulrushlug.NewOrganisation(w.GetName(), w.GetRate(), w.GetBurst())
	o = o.WithLabels(w.GetLabels()).WithSelector(w.GetSelector()).WithModels(w.GetModels())
	for _, k := range w.GetKeys() {
		o = o.WithKey(bulrushlug.NewKey(k.GetId(), k.GetHash(), k.GetWithdrawn()))
	}
	return o
}

func encodeModel(m bulrushlug.Model) *wire.Model {
	return &wire.Model{
		Name:          m.Name(),
		Version:       m.Version(),
		Labels:        m.Labels(),
		Selector:      m.Selector(),
		Organisations: m.Organisations(),
	}
}

func decodeModel(w *wire.Model) bulrushlug.Model {
	m := bulrushlug.NewModel(w.GetName(), w.GetVersion(), w.GetSelector())
	return m.WithLabels(w.GetLabels()).WithOrganisations(w.GetOrganisations())
}

func encodeRing(r bulrushlug.Ring) *wire.Ring {
	added, removed, step := r.Delta()
	return &wire.Ring{Epoch: r.Epoch(), Members: r.Members(), Step: step, Added: added, Removed: removed}
}

func decodeRing(w *wire.Ring) bulrushlug.Ring {
	if w.GetStep() {
		return bulrushlug.NewRingDelta(w.GetEpoch(), w.GetAdded(), w.GetRemoved())
	}
	return bulrushlug.NewRing(w.GetEpoch(), w.GetMembers())
}
