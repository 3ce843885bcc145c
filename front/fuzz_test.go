package front

import "testing"

// FuzzModelBody checks that arbitrary bodies of model requests are validated and hashed without a panic.
func FuzzModelBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`), "/v1/chat/completions")
	f.Add([]byte(`{"model":"m","prompt":["a","b"]}`), "/v1/completions")
	f.Add([]byte(`[]`), "/v1/completions")
	f.Fuzz(func(_ *testing.T, b []byte, p string) {
		if checkModelBody(b, p) == nil {
			prefixHash(b)
		}
	})
}
