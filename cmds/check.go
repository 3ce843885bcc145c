package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/conf"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file",
		ArgsUsage: "settings",
		Action:    check,
	}
}

func check(_ context.Context, m *cli.Command) error {
	p, err := one(m, "settings")
	if err != nil {
		return err
	}
	s, err := conf.Load(p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(m.Root().Writer, "%s: settings of the %s %s are valid\n", p, s.Role(), s.Member().Name())
	return err
}
