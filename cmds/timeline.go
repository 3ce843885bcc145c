package cmds

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/clock"
	"bulrushlug.dev/bulrushlug/wire"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all processes, ordered by hybrid logical clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this `request`"},
			&cli.StringFlag{Name: "job", Usage: "only events of this `job`"},
			&cli.StringFlag{Name: "org", Usage: "only events of this `organisation`"},
			&cli.StringFlag{Name: "vm", Usage: "only events of this `VM`"},
			&cli.Uint32Flag{Name: "limit", Usage: "`number` of most recent events to show", Value: 200},
		},
		Action: timeline,
	}
}

func timeline(c context.Context, m *cli.Command) error {
	a, err := call[wire.Events](c, m, "events", &wire.EventsRequest{
		Request:      m.String("request"),
		Job:          m.String("job"),
		Organisation: m.String("org"),
		Vm:           m.String("vm"),
		Limit:        m.Uint32("limit"),
	})
	if err != nil {
		return err
	}
	return writeOutput(m, a, func(w io.Writer) {
		writeRow(w, "TIME", "VM", "EVENT", "REQUEST", "JOB", "ORGANISATION", "DETAIL")
		for _, e := range a.Events {
			t := clock.Time(e.Stamp).UTC().Format("15:04:05.000")
			writeRow(w, t, e.Vm, e.What, e.Request, e.Job, e.Organisation, e.Detail)
		}
	})
}
