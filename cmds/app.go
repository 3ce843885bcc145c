// Package cmds implements the subcommands of the bulrushlug command line, one file each.
package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/codec"
	"bulrushlug.dev/bulrushlug/dryrun"
	"bulrushlug.dev/bulrushlug/remote"
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "bulrushlug",
		Usage: "serve online and batch inference on one fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`URL` of an entry", Sources: cli.EnvVars("BULRUSHLUG_ENTRY"), Value: "http://127.0.0.1:8080"},
			&cli.StringFlag{Name: "credential", Usage: "operator `credential`", Sources: cli.EnvVars("BULRUSHLUG_CREDENTIAL")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print changes instead of applying them"},
		},
		Commands: []*cli.Command{
			runCommand(), serveCommand(), checkCommand(), secretCommand(), certificateCommand(),
			orgCommand(), keyCommand(), modelCommand(), vmCommand(), routeCommand(),
			rolloutCommand(), serversCommand(), backendsCommand(), jobsCommand(), timelineCommand(), traceCommand(), explainCommand(),
		},
	}
}

// newOperator returns the client that sends commands to the entry, or with --dry-run only prints those that change something.
func newOperator(m *cli.Command) bulrushlug.Operator {
	var o bulrushlug.Operator = remote.New(m.String("entry"), m.String("credential"))
	if m.Bool("dry-run") {
		o = dryrun.New(o, m.Root().Writer)
	}
	return o
}

// call sends q to the admin API path p and decodes the response.
func call[A any, P codec.Message[A]](c context.Context, m *cli.Command, p string, q proto.Message) (P, error) {
	b, err := codec.JSON(q)
	if err != nil {
		return nil, err
	}
	b, err = newOperator(m).Send(c, p, b)
	if err != nil {
		return nil, describeError(err)
	}
	return codec.ParseJSON[A, P](b)
}

// describeError prefixes err with its kind and whether the command may have taken effect.
func describeError(err error) error {
	k := bulrushlug.KindOf(err)
	s := "not done"
	if k.Response().MayHaveRun() {
		s = "may be done"
	}
	return fmt.Errorf("%s (%s): %w", k, s, err)
}

// singleArg returns the only positional argument; n is its name in the error message.
func singleArg(m *cli.Command, n string) (string, error) {
	if m.Args().Len() != 1 {
		return "", fmt.Errorf("%s: expected exactly one argument: %s", m.FullName(), n)
	}
	return m.Args().First(), nil
}

// parseLabels parses labels of the form name=value.
func parseLabels(l []string) (map[string]string, error) {
	m := map[string]string{}
	for _, x := range l {
		k, v, ok := strings.Cut(x, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("label %q: expected the form name=value", x)
		}
		m[k] = v
	}
	return m, nil
}

// writeOutput prints x as JSON if --json is set, and otherwise as the table that f writes.
func writeOutput(m *cli.Command, x proto.Message, f func(w io.Writer)) error {
	o := m.Root().Writer
	if !m.Bool("json") {
		return writeTable(o, f)
	}
	b, err := codec.IndentJSON(x)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o, "%s\n", b)
	return err
}
