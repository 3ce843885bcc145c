// Package cmds holds the commands of the program, one file each.
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

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:  "bulrushlug",
		Usage: "serve online and batch inference on one fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`URL` of an entry", Sources: cli.EnvVars("BULRUSHLUG_ENTRY"), Value: "http://127.0.0.1:8080"},
			&cli.StringFlag{Name: "credential", Usage: "operators' `credential`", Sources: cli.EnvVars("BULRUSHLUG_CREDENTIAL")},
			&cli.BoolFlag{Name: "json", Usage: "write JSON in place of a table"},
			&cli.BoolFlag{Name: "dry-run", Usage: "show changes in place of making them"},
		},
		Commands: []*cli.Command{
			runCommand(), serveCommand(), checkCommand(), secretCommand(), certificateCommand(),
			orgCommand(), keyCommand(), modelCommand(), vmCommand(), routeCommand(),
			rolloutCommand(), serversCommand(), jobsCommand(), timelineCommand(),
		},
	}
}

// operator returns what commands are sent by.
func operator(m *cli.Command) bulrushlug.Operator {
	var o bulrushlug.Operator = remote.New(m.String("entry"), m.String("credential"))
	if m.Bool("dry-run") {
		o = dryrun.New(o, m.Root().Writer)
	}
	return o
}

// call sends q to path p and returns the answer.
func call[A any, P codec.Message[A]](c context.Context, m *cli.Command, p string, q proto.Message) (P, error) {
	b, err := codec.JSON(q)
	if err != nil {
		return nil, err
	}
	b, err = operator(m).Send(c, p, b)
	if err != nil {
		return nil, explain(err)
	}
	return codec.ParseJSON[A, P](b)
}

// explain puts the kind of err first.
func explain(err error) error {
	k := bulrushlug.KindOf(err)
	s := "not done"
	if k.Answer().Ran() {
		s = "may be done"
	}
	return fmt.Errorf("%s (%s): %w", k, s, err)
}

// one returns the only argument, called n.
func one(m *cli.Command, n string) (string, error) {
	if m.Args().Len() != 1 {
		return "", fmt.Errorf("%s: needs exactly one argument: %s", m.FullName(), n)
	}
	return m.Args().First(), nil
}

// pairs reads labels of the form name=value.
func pairs(l []string) (map[string]string, error) {
	m := map[string]string{}
	for _, x := range l {
		k, v, ok := strings.Cut(x, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("label %q: needs the form name=value", x)
		}
		m[k] = v
	}
	return m, nil
}

// write writes m as JSON, or by f as a table.
func write(m *cli.Command, x proto.Message, f func(w io.Writer)) error {
	o := m.Root().Writer
	if !m.Bool("json") {
		return table(o, f)
	}
	b, err := codec.IndentJSON(x)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o, "%s\n", b)
	return err
}
