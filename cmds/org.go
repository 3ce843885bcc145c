package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func orgCommand() *cli.Command {
	return &cli.Command{
		Name:  "org",
		Usage: "create, change and show organisations",
		Commands: []*cli.Command{
			{Name: "create", Usage: "create an organisation", ArgsUsage: "name", Flags: orgFlags(), Action: orgChange(true)},
			{Name: "set", Usage: "change an organisation", ArgsUsage: "name", Flags: orgFlags(), Action: orgChange(false)},
			{Name: "remove", Usage: "remove an organisation with all its keys", ArgsUsage: "name", Flags: changeFlags(), Action: orgRemove},
			{Name: "list", Usage: "list organisations", Action: orgList},
			{Name: "show", Usage: "show the keys of an organisation", ArgsUsage: "name", Action: orgShow},
		},
	}
}

// changeFlags returns the flags shared by all commands that change the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seen", Usage: "reject the change if the entity was modified after this `revision`"},
		&cli.StringFlag{Name: "change-id", Usage: "idempotency `identifier`; repeat it to retry a change safely"},
	}
}

func orgFlags() []cli.Flag {
	return append(changeFlags(),
		&cli.Float64Flag{Name: "rate", Usage: "sustained rate limit in `requests` per second"},
		&cli.Uint32Flag{Name: "burst", Usage: "burst size in `requests`"},
		&cli.StringSliceFlag{Name: "label", Usage: "`name=value`; replaces all labels"},
		&cli.StringFlag{Name: "selector", Usage: "label `selector` of the VMs that may run the organisation's requests"},
		&cli.StringFlag{Name: "models", Usage: "label `selector` of the models that the organisation may use"},
	)
}

func orgChange(create bool) cli.ActionFunc {
	return func(c context.Context, m *cli.Command) error {
		n, err := singleArg(m, "name")
		if err != nil {
			return err
		}
		l, err := parseLabels(m.StringSlice("label"))
		if err != nil {
			return err
		}
		q := &wire.OrganisationCommand{Name: n, Create: create, Labels: l, SetLabels: m.IsSet("label"), Seen: m.Uint64("seen"), ChangeId: m.String("change-id")}
		if m.IsSet("rate") {
			v := m.Float64("rate")
			q.Rate = &v
		}
		if m.IsSet("burst") {
			v := m.Uint32("burst")
			q.Burst = &v
		}
		if m.IsSet("selector") {
			v := m.String("selector")
			q.Selector = &v
		}
		if m.IsSet("models") {
			v := m.String("models")
			q.Models = &v
		}
		a, err := call[wire.Accepted](c, m, "organisation", q)
		return printAccepted(m, a, err)
	}
}

// printAccepted prints the revision at which a change was accepted, or returns err.
func printAccepted(m *cli.Command, a *wire.Accepted, err error) error {
	if err != nil {
		return err
	}
	if m.Bool("dry-run") {
		return nil
	}
	return writeOutput(m, a, func(w io.Writer) { _, _ = fmt.Fprintf(w, "accepted as revision %d\n", a.Revision) })
}

func orgRemove(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "name")
	if err != nil {
		return err
	}
	return sendChange(c, m, &wire.Change{Removed: true, Entity: &wire.Change_Organisation{Organisation: &wire.Organisation{Name: n}}})
}

// sendChange sends a change of one entity; creating and editing organisations has its own command, see orgChange.
func sendChange(c context.Context, m *cli.Command, x *wire.Change) error {
	x.Id = m.String("change-id")
	a, err := call[wire.Accepted](c, m, "entity", &wire.EntityCommand{Seen: m.Uint64("seen"), Change: x})
	return printAccepted(m, a, err)
}

// listEntities fetches the configuration and returns the entities for which f is not nil, as a view and as values of f.
func listEntities[T any](c context.Context, m *cli.Command, f func(x *wire.Change) *T) (*wire.ConfigView, []*T, error) {
	v, err := call[wire.ConfigView](c, m, "config", &wire.Empty{})
	if err != nil {
		return nil, nil, err
	}
	var l []*T
	var kept []*wire.Change
	for _, x := range v.Entities {
		if e := f(x); e != nil {
			l = append(l, e)
			kept = append(kept, x)
		}
	}
	v.Entities = kept
	return v, l, nil
}

func orgList(c context.Context, m *cli.Command) error {
	v, l, err := listEntities(c, m, (*wire.Change).GetOrganisation)
	if err != nil {
		return err
	}
	return writeOutput(m, v, func(w io.Writer) {
		writeRow(w, "NAME", "RATE/S", "BURST", "KEYS", "VMS", "MODELS", "LABELS")
		for _, o := range l {
			writeRow(w, o.Name, o.Rate, o.Burst, len(o.Keys), o.Selector, o.Models, formatLabels(o.Labels))
		}
	})
}

func orgShow(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "name")
	if err != nil {
		return err
	}
	v, l, err := listEntities(c, m, func(x *wire.Change) *wire.Organisation {
		if o := x.GetOrganisation(); o.GetName() == n {
			return o
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(l) == 0 {
		return fmt.Errorf("organisation %q does not exist", n)
	}
	return writeOutput(m, v, func(w io.Writer) {
		writeRow(w, "KEY", "STATE")
		for _, k := range l[0].Keys {
			s := "valid"
			if k.Withdrawn {
				s = "withdrawn"
			}
			writeRow(w, k.Id, s)
		}
	})
}
