package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"
)

const maxExplanation = 4 << 20 // Bytes.

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a request or lot would go now, and why, without sending it",
		ArgsUsage: "host path",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "metrics", Usage: "`address` of the metrics of the process to ask", Required: true}},
		Description: "Asks a running process. The first server is the one that the request would go to by the rule that is named; servers\n" +
			"with another rule are excluded by it, and those without one have a higher score. Nothing is sent to a server.",
		Action: explain,
	}
}

func explain(c context.Context, m *cli.Command) error {
	if m.Args().Len() != 2 {
		return fmt.Errorf("%s: expected a host and a path", m.FullName())
	}
	q := url.Values{"host": {m.Args().Get(0)}, "path": {m.Args().Get(1)}}
	return getMetrics(c, m.String("metrics"), "/explain?"+q.Encode(), func(r *http.Response) error {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxExplanation))
		if err != nil {
			return err
		}
		if r.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s %s", m.FullName(), r.Status, b)
		}
		_, err = m.Root().Writer.Write(b)
		return err
	})
}
