// Command standin runs simulated platform services and backend servers, and a demonstration.
package main

import (
	"context"
	"fmt"
	"os"

	"bulrushlug.dev/bulrushlug/simcli"
)

func main() {
	if err := simcli.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
