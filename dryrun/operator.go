// Package dryrun prints operator commands that would change the configuration instead of sending them.
package dryrun

import (
	"context"
	"fmt"
	"io"
	"slices"

	"bulrushlug.dev/bulrushlug"
)

// mutatingCommands are the admin API paths whose commands change the configuration.
var mutatingCommands = []string{"organisation", "key", "entity"}

// Operator decorates another operator, which only receives read-only commands.
type Operator struct {
	next bulrushlug.Operator
	out  io.Writer
}

// New returns an operator that prints mutating commands to w and sends all others by n.
func New(n bulrushlug.Operator, w io.Writer) *Operator { return &Operator{next: n, out: w} }

// Send prints the command b if it would change the configuration, and otherwise sends it to path p.
func (o *Operator) Send(c context.Context, p string, b []byte) ([]byte, error) {
	if !slices.Contains(mutatingCommands, p) {
		return o.next.Send(c, p, b)
	}
	if _, err := fmt.Fprintf(o.out, "would send %s: %s\n", p, b); err != nil {
		return nil, err
	}
	return []byte("{}"), nil
}
