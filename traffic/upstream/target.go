package upstream

import (
	"io"
	"net/http"
	"strings"
)

// writeRequest writes a request. A target in URL.Opaque is written as it is, also one
// that begins with two slashes: net/http puts an empty scheme and a colon before those.
func writeRequest(w io.Writer, request *http.Request) error {
	u := request.URL
	if u.Scheme == "" && strings.HasPrefix(u.Opaque, "//") {
		w = &colonRemover{writer: w, before: len(request.Method + " ")}
	}
	return request.Write(w)
}

// colonRemover is a writer that leaves out the colon after the first bytes.
// It has no method but Write, so that all bytes pass through it.
type colonRemover struct {
	writer io.Writer
	// before is the number of bytes still to be written before the colon.
	before  int
	removed bool
}

// Write implements io.Writer.
func (r *colonRemover) Write(p []byte) (int, error) {
	if r.removed {
		return r.writer.Write(p)
	}
	head := p[:min(r.before, len(p))]
	n, err := r.writer.Write(head)
	r.before -= n
	if err != nil || n == len(p) {
		return n, err
	}
	r.removed = true
	written, err := r.writer.Write(p[n+1:])
	return n + 1 + written, err
}
