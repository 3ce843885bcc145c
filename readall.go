package bulrushlug

import (
	"fmt"
	"io"
)

// ReadAll reads r to its end. It fails with ErrOversized if r has more than n bytes.
func ReadAll(r io.Reader, n int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, n+1))
	if err == nil && int64(len(b)) > n {
		return nil, fmt.Errorf("more than %d bytes: %w", n, ErrOversized)
	}
	return b, err
}
