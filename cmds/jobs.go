package cmds

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:   "jobs",
		Usage:  "list batch jobs",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "org", Usage: "only jobs of the organisation with this `name`"}},
		Action: jobs,
	}
}

func jobs(c context.Context, m *cli.Command) error {
	a, err := call[wire.JobViews](c, m, "jobs", &wire.KeyCommand{Organisation: m.String("org")})
	if err != nil {
		return err
	}
	return writeOutput(m, a, func(w io.Writer) {
		writeRow(w, "ID", "ORGANISATION", "STATUS", "OWNER", "ITEMS", "DONE", "FAILED", "DUE", "PROBLEM")
		for _, j := range a.Jobs {
			writeRow(w, j.Id, j.Organisation, j.Status, j.Owner, j.Items, j.Done, j.Failed, j.Due, j.Problem)
		}
	})
}
