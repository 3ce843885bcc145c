// Package rest reads and writes the JSON bodies of the simulated HTTP services.
package rest

import (
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"bulrushlug.dev/bulrushlug/codec"
)

// ReadJSON decodes the body of r; on failure it responds with status 400 and returns false.
func ReadJSON[T any, P codec.Message[T]](w http.ResponseWriter, r *http.Request) (P, bool) {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		var m P
		if m, err = codec.ParseJSON[T, P](b); err == nil {
			return m, true
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
	return nil, false
}

// WriteJSON responds with m as JSON, or with status 500 if it can't be encoded.
func WriteJSON(w http.ResponseWriter, m proto.Message) {
	b, err := codec.JSON(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
}
