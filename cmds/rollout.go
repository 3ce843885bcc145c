package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

// rolloutPollInterval is the pause between two queries of the revisions of all processes.
const rolloutPollInterval = 500 * time.Millisecond

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "show the configuration revision of every process, or wait until all have reached one",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "wait", Usage: "wait until every process has reached this `revision`"},
			&cli.DurationFlag{Name: "timeout", Usage: "maximum `time` to wait", Value: 11 * time.Second}, // As bounds.MaxConfigPropagationTime.
		},
		Action: rollout,
	}
}

func rollout(c context.Context, m *cli.Command) error {
	n := m.Uint64("wait")
	c, stop := context.WithTimeout(c, m.Duration("timeout"))
	defer stop()
	for {
		p, err := call[wire.Positions](c, m, "positions", &wire.Empty{})
		if err != nil {
			return err
		}
		if behind := countBehind(p, n); behind == 0 {
			return printPositions(m, p)
		} else if bulrushlug.Sleep(c, rolloutPollInterval) != nil {
			return fmt.Errorf("%d processes have not reached revision %d", behind, n)
		}
	}
}

func countBehind(p *wire.Positions, n uint64) int {
	k := 0
	for _, x := range p.Positions {
		if x.Revision < n {
			k++
		}
	}
	return k
}

func printPositions(m *cli.Command, p *wire.Positions) error {
	return writeOutput(m, p, func(w io.Writer) {
		writeRow(w, "VM", "ROLE", "REVISION", "CONFIRMED", "LEAVING")
		for _, x := range p.Positions {
			writeRow(w, x.Vm, x.Role, x.Revision, x.Fresh, x.Leaving)
		}
	})
}
