package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show from logs what happened to a request or lot, and what the processes knew",
		ArgsUsage: "identifier [file ...]",
		Description: "Reads the logs of all processes from the files, or from standard input. Lines that name the identifier, or a request\n" +
			"of that lot, begin with a star; the others are what their processes wrote about themselves at that time.",
		Action: traceLogs,
	}
}

func traceLogs(_ context.Context, m *cli.Command) error {
	if m.Args().Len() == 0 {
		return fmt.Errorf("%s: expected an identifier", m.FullName())
	}
	t := &trace.Trace{}
	if m.Args().Len() == 1 {
		if err := t.Read(m.Root().Reader); err != nil {
			return err
		}
	}
	for _, p := range m.Args().Tail() {
		if err := readLog(t, p); err != nil {
			return err
		}
	}
	return t.Write(m.Root().Writer, m.Args().First())
}

// readLog adds the file p to t.
func readLog(t *trace.Trace, p string) error {
	f, err := os.Open(p)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := t.Read(f); err != nil {
		return fmt.Errorf("%s: %w", p, err)
	}
	return nil
}
