package bulrushlug

import "context"

// Operator sends operator commands to the admin API of an entry.
type Operator interface {
	// Send sends the JSON command b to path p and returns the JSON response.
	Send(c context.Context, p string, b []byte) ([]byte, error)
}
