package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug"
	"bulrushlug.dev/bulrushlug/wire"
)

func keyCommand() *cli.Command {
	f := append(changeFlags(), &cli.StringFlag{Name: "org", Usage: "`name` of the organisation", Required: true})
	return &cli.Command{
		Name:  "key",
		Usage: "create and revoke API keys",
		Commands: []*cli.Command{
			{Name: "give", Usage: "create an API key, which is printed only once", ArgsUsage: "identifier", Flags: f, Action: keyGive},
			{Name: "withdraw", Usage: "revoke an API key permanently", ArgsUsage: "identifier", Flags: f, Action: keyWithdraw},
		},
	}
}

// keyGive generates a key locally and sends only its hash, so that the key itself is stored nowhere.
func keyGive(c context.Context, m *cli.Command) error {
	i, err := singleArg(m, "identifier")
	if err != nil {
		return err
	}
	k := "sk-" + randomHex()
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
	if m.Bool("dry-run") {
		return printAccepted(m, a, nil)
	}
	if _, err := fmt.Fprintf(m.Root().Writer, "key %s\n", k); err != nil {
		return err
	}
	return printAccepted(m, a, nil)
}

func keyWithdraw(c context.Context, m *cli.Command) error {
	i, err := singleArg(m, "identifier")
	if err != nil {
		return err
	}
	a, err := call[wire.Accepted](c, m, "key", &wire.KeyCommand{
		Organisation: m.String("org"),
		Id:           i,
		Seen:         m.Uint64("seen"),
		ChangeId:     m.String("change-id"),
	})
	return printAccepted(m, a, err)
}
