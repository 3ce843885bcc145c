package front

import (
	"runtime/debug"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

// TestDeeplyNestedBodyEndsProcess has bodies whose validation by recursion overflows the stack, which ends the process.
func TestDeeplyNestedBodyEndsProcess(t *testing.T) {
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	for name, body := range map[string]string{
		"arrays":  strings.Repeat("[", 1<<20),
		"objects": strings.Repeat(`{"a":`, 1<<20),
		"a field": `{"model":"m","prompt":` + strings.Repeat("[", 1<<19) + strings.Repeat("]", 1<<19) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan error, 1)
			go func() { done <- checkModelBody([]byte(body), "/v1/completions") }() // On a new stack.
			if err := <-done; bulrushlug.KindOf(err) != bulrushlug.KindBadRequest {
				t.Errorf("checkModelBody returned %v", err)
			}
		})
	}
}
