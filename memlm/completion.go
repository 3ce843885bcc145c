package memlm

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"bulrushlug.dev/bulrushlug"
)

// completion is the generated output for one request, a deterministic function of the request body.
type completion struct {
	chat   bool
	head   string // JSON object with the fields id, created and model.
	seed   uint64
	tokens int // Number of tokens, at least one.
}

func newCompletion(r *bulrushlug.Request) completion {
	b := r.Body()
	h, _ := sjson.Set(`{}`, "id", "cmpl-"+r.ID())
	h, _ = sjson.Set(h, "created", time.Now().Unix())
	h, _ = sjson.Set(h, "model", gjson.GetBytes(b, "model").String())
	return completion{
		chat:   strings.HasSuffix(r.Path(), "/chat/completions"),
		head:   h,
		seed:   xxhash.Sum64(b),
		tokens: tokenLimit(b),
	}
}

// word returns the text of token i, derived from the seed.
func (a completion) word(i int) string { return fmt.Sprintf("w%x ", (a.seed>>(uint(i)%48))&0xfff) }

// event returns token i as a server-sent event in the OpenAI streaming format.
func (a completion) event(i int) []byte {
	o, k := "text_completion", "choices.0.text"
	if a.chat {
		o, k = "chat.completion.chunk", "choices.0.delta.content"
	}
	j, _ := sjson.Set(a.head, "object", o)
	j, _ = sjson.Set(j, "choices.0.index", 0)
	j, _ = sjson.Set(j, k, a.word(i))
	if i == a.tokens-1 {
		j, _ = sjson.Set(j, "choices.0.finish_reason", "stop")
	}
	return []byte("data: " + j + "\n\n")
}

// writeJSON writes the completion as one JSON object in the OpenAI format.
func (a completion) writeJSON(s bulrushlug.Sink) error {
	var t bytes.Buffer
	for i := range a.tokens {
		t.WriteString(a.word(i))
	}
	o, k := "text_completion", "choices.0.text"
	if a.chat {
		o, k = "chat.completion", "choices.0.message.content"
	}
	j, _ := sjson.Set(a.head, "object", o)
	j, _ = sjson.Set(j, "choices.0.index", 0)
	if a.chat {
		j, _ = sjson.Set(j, "choices.0.message.role", "assistant")
	}
	j, _ = sjson.Set(j, k, t.String())
	j, _ = sjson.Set(j, "choices.0.finish_reason", "stop")
	j, _ = sjson.Set(j, "usage.completion_tokens", a.tokens)
	if err := s.Head(http.StatusOK, "application/json"); err != nil {
		return err
	}
	return s.Write([]byte(j))
}
