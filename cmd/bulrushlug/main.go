// Command bulrushlug runs the server processes and the operator commands.
package main

import (
	"context"
	"fmt"
	"os"

	"bulrushlug.dev/bulrushlug/cmds"
)

func main() {
	if err := cmds.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bulrushlug:", err)
		os.Exit(1)
	}
}
