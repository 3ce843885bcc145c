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
		Usage:     "create a certificate authority and issue certificates for the given VMs",
		ArgsUsage: "vm ...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "folder", Usage: "output `folder`", Value: "."}},
		Action: func(_ context.Context, m *cli.Command) error {
			if m.Args().Len() == 0 {
				return fmt.Errorf("%s: expected at least one VM", m.FullName())
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
			_, err = fmt.Fprintf(m.Root().Writer, "wrote ca.pem and the certificates of %d processes to %s\n", m.Args().Len(), m.String("folder"))
			return err
		},
	}
}
