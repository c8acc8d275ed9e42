package front

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passedOn returns a copy of the headers without those of one connection and
// the body's length, which each side sets for itself.
func passedOn(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		passed[name] = values
	}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(passed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(passed, name)
	}
	delete(passed, "Content-Length")
	return passed
}
