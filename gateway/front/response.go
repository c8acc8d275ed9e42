package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/dispatch"
)

const (
	// bufferedBytes is the size up to which a response is written without a time
	// limit: net/http buffers it.
	bufferedBytes = 4 << 10
	// writeGrace is how long beyond its own timeout a caller may read a response. Until
	// then the response takes memory.
	writeGrace = 2 * time.Second
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
	switch {
	case e.r.Method == http.MethodHead:
		if length := response.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		// The answer ends with its headers.
	case !e.setTrailer(response.Trailer):
		header.Set("Content-Length", strconv.FormatInt(response.Body.Len(), 10))
	}
	e.w.WriteHeader(response.Status)
	if response.Body.Len() <= bufferedBytes {
		e.write(response.Body.NewReader())
		return
	}
	left := e.arrived + e.callerTimeout() - e.options.Clock()
	e.setWriteDeadline(time.Now().Add(max(left, 0) + writeGrace))
	if e.write(response.Body.NewReader()) {
		e.setWriteDeadline(time.Time{})
	}
}

// setTrailer makes the answer one in chunks with the trailer, and reports whether there is
// one that the caller can read.
func (e *exchange) setTrailer(trailer http.Header) bool {
	if len(trailer) == 0 || !e.r.ProtoAtLeast(1, 1) {
		return false
	}
	sent := false
	for name, values := range forwardedHeaders(trailer) {
		if len(values) > 0 {
			e.w.Header()[http.TrailerPrefix+name] = values
			sent = true
		}
	}
	return sent
}

// setWriteDeadline limits the time to write to the caller; the zero time sets no limit.
func (e *exchange) setWriteDeadline(deadline time.Time) {
	err := http.NewResponseController(e.w).SetWriteDeadline(deadline)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		e.options.Log.Event(event.CallerLeft, err.Error(), zap.String("request", e.head.ID))
	}
}

// write writes a response body to the caller and reports whether that succeeded. If the
// caller has disconnected, net/http closes the connection.
func (e *exchange) write(body io.Reader) bool {
	if _, err := io.Copy(e.w, body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		e.options.Log.Event(event.CallerLeft, err.Error(), zap.String("request", e.head.ID))
		return false
	}
	return true
}
