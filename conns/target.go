package conns

import (
	"io"
	"net/http"
	"strings"
)

// targetWriter inserts bytes into what is written to it.
type targetWriter struct {
	io.Writer
	skip int    // Bytes before the inserted ones that are still to be written.
	rest string // Bytes to insert; empty once they were.
}

// withSlashes returns a writer for r that writes to w. net/http takes a target that begins with two slashes for a host and
// puts a colon before it; such a target is written with a single slash by r, and the writer adds the others.
func withSlashes(w io.Writer, r *http.Request) io.Writer {
	t := "/" + strings.TrimLeft(r.URL.Opaque, "/")
	n := len(r.URL.Opaque) - len(t)
	if n <= 0 {
		return w
	}
	u := *r.URL
	u.Opaque = t
	r.URL = &u
	return &targetWriter{w, len(r.Method) + 1, strings.Repeat("/", n)}
}

// Write writes p.
func (t *targetWriter) Write(p []byte) (int, error) {
	if t.rest == "" {
		return t.Writer.Write(p)
	}
	if len(p) < t.skip {
		t.skip -= len(p)
		return t.Writer.Write(p)
	}
	n, err := t.Writer.Write(p[:t.skip])
	if err != nil {
		return n, err
	}
	if _, err := io.WriteString(t.Writer, t.rest); err != nil {
		return n, err
	}
	t.rest = ""
	m, err := t.Writer.Write(p[n:])
	return n + m, err
}
