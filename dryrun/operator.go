// Package dryrun shows the commands of operators in place of sending those that change something.
package dryrun

import (
	"context"
	"fmt"
	"io"
	"slices"

	"bulrushlug.dev/bulrushlug"
)

var changing = []string{"organisation", "key", "entity"}

// Operator wraps another operator, which gets only the commands that change nothing.
type Operator struct {
	next bulrushlug.Operator
	out  io.Writer
}

// New returns an operator that writes commands to w, and sends harmless ones by n.
func New(n bulrushlug.Operator, w io.Writer) *Operator { return &Operator{next: n, out: w} }

// Send writes the command b, and sends it if it changes nothing.
func (o *Operator) Send(c context.Context, p string, b []byte) ([]byte, error) {
	if !slices.Contains(changing, p) {
		return o.next.Send(c, p, b)
	}
	if _, err := fmt.Fprintf(o.out, "would send %s: %s\n", p, b); err != nil {
		return nil, err
	}
	return []byte("{}"), nil
}
