package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

func keyCommand() *cli.Command {
	f := append(seenFlags(), &cli.StringFlag{Name: "org", Usage: "`name` of the organisation", Required: true})
	return &cli.Command{
		Name:  "key",
		Usage: "give and withdraw keys",
		Commands: []*cli.Command{
			{Name: "give", Usage: "make a key; it is shown once", ArgsUsage: "identifier", Flags: f, Action: keyGive},
			{Name: "withdraw", Usage: "withdraw a key for good", ArgsUsage: "identifier", Flags: f, Action: keyWithdraw},
		},
	}
}

// keyGive makes a key on this machine; only its hash is sent.
func keyGive(c context.Context, m *cli.Command) error {
	i, err := one(m, "identifier")
	if err != nil {
		return err
	}
	k := "sk-" + random()
	a, err := call[wire.Accepted](c, m, "key", &wire.KeyCommand{
		Organisation: m.String("org"),
		Id:           i,
		Hash:         bulrushlug.HashKey(k),
		Seen:         m.Uint64("seen"),
		ChangeId:     m.String("change-id"),
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(m.Root().Writer, "key %s\n", k); err != nil {
		return err
	}
	return accepted(m, a, nil)
}

func keyWithdraw(c context.Context, m *cli.Command) error {
	i, err := one(m, "identifier")
	if err != nil {
		return err
	}
	a, err := call[wire.Accepted](c, m, "key", &wire.KeyCommand{
		Organisation: m.String("org"),
		Id:           i,
		Seen:         m.Uint64("seen"),
		ChangeId:     m.String("change-id"),
	})
	return accepted(m, a, err)
}
