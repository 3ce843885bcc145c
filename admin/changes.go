package admin

import (
	"context"
	"strings"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/cfglog"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/match"
	"bulrushlug.dev/bulrushlug/wire"
)

// author is the author of changes that operators make.
const author = "operator"

const maxRate = 1e6 // Requests per second.

// propose writes the change that f returns; n is the revision that the operator's command is based on, or zero. A retry
// with the id of the change in force fails with KindRepeated.
func (s *Server) propose(c context.Context, id, entity string, n uint64, f func(x *bulrushlug.Config) (bulrushlug.Change, error)) (*wire.Accepted, error) {
	if id == "" {
		id = cfglog.NewID()
	}
	r, err := s.log.Propose(c, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		if y, ok := x.LatestChange(entity); ok && y.ID() == id {
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindRepeated, "change %s is already in force as revision %d", id, y.Revision())
		}
		if err := checkUnchanged(x, entity, n); err != nil {
			return bulrushlug.Change{}, err
		}
		y, err := f(x)
		return y.WithID(id), err
	})
	if err != nil {
		return nil, err
	}
	return &wire.Accepted{Revision: r, Id: id}, nil
}

// checkUnchanged fails with KindConflict if the entity has changed since revision n (optimistic concurrency control).
func checkUnchanged(x *bulrushlug.Config, entity string, n uint64) error {
	y, ok := x.LatestChange(entity)
	if n == 0 || !ok || y.Revision() <= n {
		return nil
	}
	return bulrushlug.Errorf(bulrushlug.KindConflict, "%s was changed at revision %d, after revision %d", entity, y.Revision(), n)
}

// organisation creates an organisation or changes some of its fields.
func (s *Server) organisation(c context.Context, q *wire.OrganisationCommand) (*wire.Accepted, error) {
	if err := checkOrganisation(q); err != nil {
		return nil, err
	}
	return s.propose(c, q.ChangeId, "organisation/"+q.Name, q.Seen, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		o, ok := x.Organisation(q.Name)
		switch {
		case ok && q.Create:
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindConflict, "organisation %s already exists", q.Name)
		case !ok && !q.Create:
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindNotFound, "organisation %s does not exist", q.Name)
		case !ok:
			o = bulrushlug.NewOrganisation(q.Name, 0, 0)
		}
		o = applyCommand(o, q)
		return bulrushlug.NewChange("", author, o), checkRate(o)
	})
}

// checkRate checks rate and burst of o, whichever of them a command sets.
func checkRate(o bulrushlug.Organisation) error {
	switch {
	case !(o.Rate() >= 0 && o.Rate() <= maxRate): // NaN is neither.
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the rate must be from 0 to %g requests per second", maxRate)
	case o.Rate() > 0 && o.Burst() == 0:
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the burst must be at least 1 request")
	}
	return nil
}

func checkOrganisation(q *wire.OrganisationCommand) error {
	if !validName(q.Name) {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "invalid name %q: use letters, digits, dots, dashes and underscores", q.Name)
	}
	if err := match.Validate(q.GetSelector()); err != nil {
		return err
	}
	return match.Validate(q.GetModels())
}

func validName(n string) bool {
	for _, r := range n {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '.' && r != '-' && r != '_' {
			return false
		}
	}
	return n != "" && len(n) <= 64
}

func applyCommand(o bulrushlug.Organisation, q *wire.OrganisationCommand) bulrushlug.Organisation {
	rate, burst := o.Rate(), o.Burst()
	if q.Rate != nil {
		rate = *q.Rate
	}
	if q.Burst != nil {
		burst = *q.Burst
	}
	o = o.WithRate(rate, burst)
	if q.SetLabels {
		o = o.WithLabels(q.Labels)
	}
	if q.Selector != nil {
		o = o.WithSelector(*q.Selector)
	}
	if q.Models != nil {
		o = o.WithModels(*q.Models)
	}
	return o
}

// key adds or withdraws an API key; the identifier of a withdrawn key is never reused.
func (s *Server) key(c context.Context, q *wire.KeyCommand) (*wire.Accepted, error) {
	if q.Id == "" {
		return nil, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the key has no identifier")
	}
	return s.propose(c, q.ChangeId, "organisation/"+q.Organisation, q.Seen, func(x *bulrushlug.Config) (bulrushlug.Change, error) {
		o, ok := x.Organisation(q.Organisation)
		if !ok {
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindNotFound, "organisation %s does not exist", q.Organisation)
		}
		k, ok := o.Key(q.Id)
		switch {
		case q.Hash == "" && !ok:
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindNotFound, "organisation %s has no key %s", q.Organisation, q.Id)
		case q.Hash != "" && ok:
			return bulrushlug.Change{}, bulrushlug.Errorf(bulrushlug.KindConflict, "organisation %s already has a key %s", q.Organisation, q.Id)
		case q.Hash == "":
			return bulrushlug.NewChange("", author, o.WithKey(bulrushlug.NewKey(q.Id, k.Hash(), true))), nil
		}
		return bulrushlug.NewChange("", author, o.WithKey(bulrushlug.NewKey(q.Id, q.Hash, false))), nil
	})
}

// entity puts or removes a model, the settings of a VM or a route, or removes an organisation.
func (s *Server) entity(c context.Context, q *wire.EntityCommand) (*wire.Accepted, error) {
	if q.Change == nil {
		return nil, bulrushlug.Errorf(bulrushlug.KindBadRequest, "the command has no change")
	}
	x, err := codec.DecodeChange(q.Change)
	if err != nil {
		return nil, err
	}
	if err := checkEntity(x); err != nil {
		return nil, err
	}
	return s.propose(c, x.ID(), x.EntityKey(), q.Seen, func(f *bulrushlug.Config) (bulrushlug.Change, error) {
		if _, ok := f.LatestChange(x.EntityKey()); x.Removed() && !ok {
			return x, bulrushlug.Errorf(bulrushlug.KindNotFound, "%s does not exist", x.EntityKey())
		}
		return x, nil
	})
}

func checkEntity(x bulrushlug.Change) error {
	switch {
	case x.Organisation() != nil && !x.Removed():
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "use the organisation command to change organisations")
	case x.Ring() != nil:
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "operators can't change the ring")
	case x.Model() != nil:
		return checkModel(*x.Model())
	case x.VM() != nil && !validName(x.VM().Name()):
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "invalid VM name %q", x.VM().Name())
	case x.Route() != nil:
		return checkRoute(*x.Route())
	}
	return nil
}

func checkModel(m bulrushlug.Model) error {
	if m.Name() == "" {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "the model has no name")
	}
	if err := match.Validate(m.Selector()); err != nil {
		return err
	}
	return match.Validate(m.Organisations())
}

func checkRoute(r bulrushlug.Route) error {
	if !validName(r.Name()) {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "invalid service name %q", r.Name())
	}
	if len(r.Prefix()) < 2 || r.Prefix()[0] != '/' {
		return bulrushlug.Errorf(bulrushlug.KindBadRequest, "prefix %q does not start with a slash and a name", r.Prefix())
	}
	for _, p := range []string{"/v1", "/admin", "/healthz"} {
		if strings.HasPrefix(r.Prefix(), p) {
			return bulrushlug.Errorf(bulrushlug.KindBadRequest, "prefix %s is reserved", p)
		}
	}
	return nil
}
