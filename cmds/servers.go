package cmds

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/wire"
)

func serversCommand() *cli.Command {
	return &cli.Command{Name: "servers", Usage: "list the backend servers known to an entry", Action: servers}
}

func servers(c context.Context, m *cli.Command) error {
	a, err := call[wire.ServerViews](c, m, "servers", &wire.Empty{})
	if err != nil {
		return err
	}
	return writeOutput(m, a, func(w io.Writer) {
		writeRow(w, "VM", "ZONE", "LIVE", "AVOIDED", "SLOTS", "ONLINE", "BATCH", "QUEUED", "MODELS", "SERVICES")
		for _, x := range a.Servers {
			r := x.Report
			writeRow(w, r.Vm, r.Zone, x.Live, x.Avoided, r.Slots, r.Online, r.Batch, r.Queued,
				strings.Join(r.Models, ","), strings.Join(r.Services, ","))
		}
	})
}
