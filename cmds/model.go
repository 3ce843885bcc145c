package cmds

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func modelCommand() *cli.Command {
	f := append(changeFlags(),
		&cli.StringFlag{Name: "version", Usage: "`version` to load"},
		&cli.StringFlag{Name: "selector", Usage: "label `selector` of the VMs that load the model"},
		&cli.StringFlag{Name: "orgs", Usage: "label `selector` of the organisations that may use the model"},
		&cli.StringSliceFlag{Name: "label", Usage: "`name=value`"},
	)
	return &cli.Command{
		Name:  "model",
		Usage: "place models on backend servers",
		Commands: []*cli.Command{
			{Name: "put", Usage: "place a model, or change its placement", ArgsUsage: "name", Flags: f, Action: modelPut},
			{Name: "remove", Usage: "remove a model", ArgsUsage: "name", Flags: changeFlags(), Action: modelRemove},
			{Name: "list", Usage: "list models", Action: modelList},
		},
	}
}

func modelPut(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "name")
	if err != nil {
		return err
	}
	l, err := parseLabels(m.StringSlice("label"))
	if err != nil {
		return err
	}
	return sendChange(c, m, &wire.Change{Entity: &wire.Change_Model{Model: &wire.Model{
		Name:          n,
		Version:       m.String("version"),
		Selector:      m.String("selector"),
		Organisations: m.String("orgs"),
		Labels:        l,
	}}})
}

func modelRemove(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "name")
	if err != nil {
		return err
	}
	return sendChange(c, m, &wire.Change{Removed: true, Entity: &wire.Change_Model{Model: &wire.Model{Name: n}}})
}

func modelList(c context.Context, m *cli.Command) error {
	v, l, err := listEntities(c, m, (*wire.Change).GetModel)
	if err != nil {
		return err
	}
	return writeOutput(m, v, func(w io.Writer) {
		writeRow(w, "NAME", "VERSION", "VMS", "ORGANISATIONS", "LABELS")
		for _, x := range l {
			writeRow(w, x.Name, x.Version, x.Selector, x.Organisations, formatLabels(x.Labels))
		}
	})
}
