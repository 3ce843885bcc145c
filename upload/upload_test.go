package upload

import (
	"runtime/debug"
	"strings"
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func TestCheckItem(t *testing.T) {
	// Validation by recursion overflows this stack, which ends the process.
	defer debug.SetMaxStack(debug.SetMaxStack(16 << 20))
	const item = `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{}}`
	for name, x := range map[string]struct {
		line string
		bad  bool
	}{
		"an item":                            {line: item},
		"not JSON":                           {line: item + "}", bad: true},
		"a list":                             {line: "[" + item + "]", bad: true},
		"no custom_id":                       {line: strings.Replace(item, "custom_id", "id", 1), bad: true},
		"no body":                            {line: strings.Replace(item, "body", "x", 1), bad: true},
		"a deeply nested line":               {line: strings.Repeat("[", maxLineBytes), bad: true},
		"a deeply nested body of valid JSON": {line: strings.Replace(item, "{}", `{"a":`+strings.Repeat("[", 1<<19)+strings.Repeat("]", 1<<19)+"}", 1), bad: true},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan error, 1)
			go func() { done <- (&writer{line: 1, customIDs: map[uint64]bool{}}).checkItem([]byte(x.line)) }() // On a new stack.
			if err := <-done; (err != nil) != x.bad || err != nil && bulrushlug.KindOf(err) != bulrushlug.KindBadRequest {
				t.Errorf("checkItem returned %v", err)
			}
		})
	}
}
