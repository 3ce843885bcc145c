package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/urfave/cli/v3"

	"bulrushlug.dev/bulrushlug"
)

// secretBytes is the length of secrets, credentials and keys before hex encoding.
const secretBytes = 32

func secretCommand() *cli.Command {
	return &cli.Command{
		Name:  "secret",
		Usage: "generate a peer secret, and an operator credential with its hash",
		Action: func(_ context.Context, m *cli.Command) error {
			c := randomHex()
			_, err := fmt.Fprintf(m.Root().Writer, "peerSecrets   %s\ncredential    %s\noperatorHash  %s\n", randomHex(), c, bulrushlug.HashKey(c))
			return err
		},
	}
}

func randomHex() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
