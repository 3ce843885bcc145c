// Command bulrushlug runs the processes of the system and the commands of its operators.
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
