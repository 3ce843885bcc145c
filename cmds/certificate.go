package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug/issuer"
)

func certificateCommand() *cli.Command {
	return &cli.Command{
		Name:      "certificate",
		Usage:     "make an authority, and certificates for the processes on the VMs given",
		ArgsUsage: "vm ...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "folder", Usage: "`folder` for the files", Value: "."}},
		Action: func(_ context.Context, m *cli.Command) error {
			if m.Args().Len() == 0 {
				return fmt.Errorf("%s: needs at least one VM", m.FullName())
			}
			a, err := issuer.New(m.String("folder"))
			if err != nil {
				return err
			}
			for _, v := range m.Args().Slice() {
				if err := a.Issue(v); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(m.Root().Writer, "ca.pem and certificates of %d processes are in %s\n", m.Args().Len(), m.String("folder"))
			return err
		},
	}
}
