package bulrushlug

import "context"

// Operator sends the commands of operators to an entry.
type Operator interface {
	// Send sends the JSON command b to path p, and returns the JSON answer.
	Send(c context.Context, p string, b []byte) ([]byte, error)
}
