package front

import (
	"errors"
	"net/http"
	"slices"
)

// errTrailer rejects a request whose trailer holds a field of the connection, or one that
// says where a message goes or ends.
var errTrailer = errors.New("the trailer holds a field that belongs at the beginning")

// trailer returns the trailer of a request whose body was read completely.
func (e *exchange) trailer() (http.Header, error) {
	for name, values := range e.r.Trailer {
		if len(values) == 0 {
			delete(e.r.Trailer, name) // Announced and not sent.
		}
		if name == "Host" || name == "Content-Length" || slices.Contains(hopByHopHeaders, name) {
			e.w.Header().Set("Connection", "close")
			return nil, errTrailer
		}
	}
	return e.r.Trailer, nil
}
