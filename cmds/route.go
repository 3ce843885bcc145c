package cmds

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func routeCommand() *cli.Command {
	f := append(changeFlags(),
		&cli.StringFlag{Name: "prefix", Usage: "`path` prefix", Required: true},
		&cli.BoolFlag{Name: "open", Usage: "accept requests without an API key"},
		&cli.StringSliceFlag{Name: "repeatable", Usage: "HTTP `method` whose requests may be executed more than once"},
	)
	return &cli.Command{
		Name:  "route",
		Usage: "route path prefixes to plain services",
		Commands: []*cli.Command{
			{Name: "put", Usage: "add or change a route", ArgsUsage: "service", Flags: f, Action: routePut},
			{Name: "remove", Usage: "remove a route", ArgsUsage: "service", Flags: changeFlags(), Action: routeRemove},
			{Name: "list", Usage: "list routes", Action: routeList},
		},
	}
}

func routePut(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "service")
	if err != nil {
		return err
	}
	return sendChange(c, m, &wire.Change{Entity: &wire.Change_Route{Route: &wire.Route{
		Name:       n,
		Prefix:     m.String("prefix"),
		Open:       m.Bool("open"),
		Repeatable: m.StringSlice("repeatable"),
	}}})
}

func routeRemove(c context.Context, m *cli.Command) error {
	n, err := singleArg(m, "service")
	if err != nil {
		return err
	}
	// The prefix of a removed route is not used, but the entry validates it.
	return sendChange(c, m, &wire.Change{Removed: true, Entity: &wire.Change_Route{Route: &wire.Route{Name: n, Prefix: "/" + n}}})
}

func routeList(c context.Context, m *cli.Command) error {
	v, l, err := listEntities(c, m, (*wire.Change).GetRoute)
	if err != nil {
		return err
	}
	return writeOutput(m, v, func(w io.Writer) {
		writeRow(w, "SERVICE", "PREFIX", "OPEN", "REPEATABLE")
		for _, x := range l {
			writeRow(w, x.Name, x.Prefix, x.Open, strings.Join(x.Repeatable, ","))
		}
	})
}
