package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"
)

func backendsCommand() *cli.Command {
	return &cli.Command{
		Name:      "backends",
		Usage:     "list the backend servers that a process sends requests to directly, and why one gets nothing",
		ArgsUsage: "address",
		Description: "The address is that of the setting metrics of the process. A server gets nothing as its zone is evacuated, it is draining or\n" +
			"leaving, it has failed lately, or it is cold and this process may send it nothing more at the moment.",
		Action: backends,
	}
}

func backends(c context.Context, m *cli.Command) error {
	a, err := singleArg(m, "address")
	if err != nil {
		return err
	}
	return getMetrics(c, a, "/servers", func(r *http.Response) error {
		if r.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %s", a, r.Status)
		}
		var err error
		if e := writeTable(m.Root().Writer, func(w io.Writer) { _, err = io.Copy(w, r.Body) }); e != nil {
			return e
		}
		return err
	})
}
