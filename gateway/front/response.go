package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/dispatch"
)

// writeResponse writes a backend server's response to the caller, without its
// hop-by-hop headers.
func (e *exchange) writeResponse(response *dispatch.Response) {
	header := e.w.Header()
	for name, values := range forwardedHeaders(response.Header) {
		header[name] = values
	}
	// A nil value keeps net/http from adding a header that the server did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, sent := response.Header[name]; !sent {
			header[name] = nil
		}
	}
	if e.r.Method == http.MethodHead {
		if length := response.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	} else if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(response.Body.Len(), 10))
	}
	e.w.WriteHeader(response.Status)
	e.write(response.Body.NewReader())
}

// write writes a response body to the caller. If the caller has disconnected, net/http
// closes the connection.
func (e *exchange) write(body io.Reader) {
	if _, err := io.Copy(e.w, body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		e.options.Log.Event(event.CallerLeft, err.Error(), zap.String("request", e.head.ID))
	}
}
