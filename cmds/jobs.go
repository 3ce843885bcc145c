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
		Flags:  []cli.Flag{&cli.StringFlag{Name: "org", Usage: "`name` of an organisation"}},
		Action: jobs,
	}
}

func jobs(c context.Context, m *cli.Command) error {
	a, err := call[wire.JobViews](c, m, "jobs", &wire.KeyCommand{Organisation: m.String("org")})
	if err != nil {
		return err
	}
	return write(m, a, func(w io.Writer) {
		row(w, "ID", "ORGANISATION", "STATUS", "OWNER", "ITEMS", "DONE", "FAILED", "DUE", "PROBLEM")
		for _, j := range a.Jobs {
			row(w, j.Id, j.Organisation, j.Status, j.Owner, j.Items, j.Done, j.Failed, j.Due, j.Problem)
		}
	})
}
