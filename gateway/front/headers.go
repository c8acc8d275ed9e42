package front

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns a copy of the headers without hop-by-hop headers and
// Content-Length, which each connection sets for itself.
func forwardedHeaders(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		forwarded[name] = values
	}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(forwarded, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwarded, name)
	}
	delete(forwarded, "Content-Length")
	return forwarded
}
