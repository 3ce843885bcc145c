package guard

import (
	"errors"
	"net/http"
)

// HTTP returns h with each request under the guard: a request whose handler panics gets status 500, or a broken
// connection if its response has begun.
func (g *Guard) HTTP(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := &writer{ResponseWriter: w}
		aborted := false
		err := g.Run("request", func() (err error) {
			defer func() {
				x := recover()
				if e, ok := x.(error); ok && errors.Is(e, http.ErrAbortHandler) {
					aborted = true
				} else if x != nil {
					panic(x)
				}
			}()
			h.ServeHTTP(k, r)
			return nil
		})
		switch {
		case aborted, err != nil && k.begun:
			panic(http.ErrAbortHandler)
		case err != nil:
			http.Error(w, "internal error", http.StatusInternalServerError)
		}
	})
}

// writer notes whether the response has begun.
type writer struct {
	http.ResponseWriter
	begun bool // The status was written.
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status.
func (w *writer) WriteHeader(n int) {
	w.begun = w.begun || n >= http.StatusOK
	w.ResponseWriter.WriteHeader(n)
}

// Write writes a part of the body.
func (w *writer) Write(b []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(b)
}
