package inlet

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// retryAfter is the time in seconds after which a caller may come back.
const retryAfter = "0.500"

// refusal is a response to a request that was not passed on.
type refusal struct {
	reason  string
	status  int
	kind    string // Of the error, in the body.
	retries bool   // The same request may be served later.
}

var (
	noMemory = refusal{reason: headRefused, status: http.StatusServiceUnavailable, kind: "overloaded", retries: true}
	tooLarge = refusal{reason: headTooLarge, status: http.StatusRequestHeaderFieldsTooLarge, kind: "tooLarge"}
	tooSlow  = refusal{reason: headSlow, status: http.StatusRequestTimeout, kind: "slow", retries: true}
)

// fields returns the header of the response to the request whose field name has the value id; empty for none.
func (f refusal) fields(name, id string) http.Header {
	h := http.Header{"Content-Type": {"application/json"}, "Connection": {"close"}}
	if id != "" {
		h.Set(name, id)
	}
	if f.retries {
		h.Set("Retry-After", retryAfter)
	}
	return h
}

func (f refusal) body() string { return `{"error":` + strconv.Quote(f.kind) + `}` }

// respond writes the response by net/http.
func (f refusal) respond(w http.ResponseWriter, name, id string) {
	for k, v := range f.fields(name, id) {
		w.Header()[k] = v
	}
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.body())
}

// encode returns the whole response.
func (f refusal) encode(name, id string) ([]byte, error) {
	r := http.Response{StatusCode: f.status, ProtoMajor: 1, ProtoMinor: 1, Header: f.fields(name, id),
		ContentLength: int64(len(f.body())), Body: io.NopCloser(strings.NewReader(f.body()))}
	var b bytes.Buffer
	err := r.Write(&b)
	return b.Bytes(), err
}
