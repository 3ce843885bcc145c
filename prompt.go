package bulrushlug

import "github.com/cespare/xxhash/v2"

// maxPromptParts is the number of parts of a prompt that are kept; further ones before the last are ignored.
const maxPromptParts = 32

// Prompt identifies the parts of a request's prompt that other requests may share; values are immutable.
type Prompt struct {
	scope uint64   // Hash of the route and model; parts of different scopes have nothing in common.
	parts []uint64 // Hashes of the parts in order, at most maxPromptParts; the last one belongs to the request itself or to its session.

	maxTokens uint64 // Most tokens that the response may have; zero if the request does not say.
}

// NewPrompt returns the prompt of a request to model m on route r that consists of the parts with the given identifiers.
func NewPrompt(r, m string, parts ...string) Prompt {
	p := Prompt{scope: xxhash.Sum64String(r + "\x00" + m)}
	if n := len(parts); n > maxPromptParts {
		parts = append(parts[:maxPromptParts-1:maxPromptParts-1], parts[n-1])
	}
	for _, x := range parts {
		p.parts = append(p.parts, xxhash.Sum64String(x))
	}
	return p
}

// Scope returns the hash of the route and model.
func (p Prompt) Scope() uint64 { return p.scope }

// Parts returns the hashes of the parts in order; empty if the request says nothing of its prompt.
func (p Prompt) Parts() []uint64 { return p.parts }

// WithMaxTokens returns a copy whose response may have at most n tokens.
func (p Prompt) WithMaxTokens(n uint64) Prompt {
	p.maxTokens = n
	return p
}

// MaxTokens returns the most tokens that the response may have; zero if the request does not say. Each event has at least one.
func (p Prompt) MaxTokens() uint64 { return p.maxTokens }
