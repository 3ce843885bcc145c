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

// rolloutPause is the time between two looks at all processes.
const rolloutPause = 500 * time.Millisecond

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "show the revision of every process, or wait until all have one",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "wait", Usage: "wait until every process has this `revision`"},
			&cli.DurationFlag{Name: "timeout", Usage: "`time` to wait", Value: 11 * time.Second},
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
			return showPositions(m, p)
		} else if bulrushlug.Sleep(c, rolloutPause) != nil {
			return fmt.Errorf("%d processes are not at revision %d", behind, n)
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

func showPositions(m *cli.Command, p *wire.Positions) error {
	return write(m, p, func(w io.Writer) {
		row(w, "VM", "ROLE", "REVISION", "CONFIRMED", "LEAVING")
		for _, x := range p.Positions {
			row(w, x.Vm, x.Role, x.Revision, x.Fresh, x.Leaving)
		}
	})
}
