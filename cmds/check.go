package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/conf"
	"bulrushlug.dev/bulrushlug/setup"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a settings file",
		ArgsUsage: "settings",
		Action:    check,
	}
}

func check(_ context.Context, m *cli.Command) error {
	p, err := singleArg(m, "settings")
	if err != nil {
		return err
	}
	b, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	if setup.Matches(b) {
		return checkDaemonSettings(m, p, b)
	}
	s, err := conf.Parse(p, b)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(m.Root().Writer, "%s: settings of the %s %s are valid\n", p, s.Role(), s.Member().Name())
	return err
}

// checkDaemonSettings validates the settings b of a process that proxies to backend servers without agents.
func checkDaemonSettings(m *cli.Command, p string, b []byte) error {
	s, err := setup.Parse(p, b)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(m.Root().Writer, "%s: settings of the %s %s are valid\n", p, s.Member().Role(), s.Member().Name())
	return err
}
