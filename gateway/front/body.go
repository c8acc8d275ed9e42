package front

import (
	"errors"
	"net/http"
	"os"
	"time"

	"guavacrank.example/gateway/memory"
	"guavacrank.example/traffic/verdict"
)

const (
	// defaultBodyLimit limits a request body if the configuration sets no limit.
	defaultBodyLimit = 64 << 20
	// memoryRetryAfter is the Retry-After of a VM without memory for a body.
	memoryRetryAfter = 100 * time.Millisecond
)

// readBody reads the complete body, up to the limit, before the request's deadline. A
// declared length is counted before the first byte. The error is a memory.TooLongError, a
// memory.NoRoomError or that of reading.
func (e *exchange) readBody(limit int64, left time.Duration) (*memory.Body, error) {
	if e.r.Body == nil || e.r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	declared := e.r.ContentLength
	if declared > limit {
		return nil, memory.TooLongError{Limit: limit}
	}
	holding := e.options.Memory.Hold(memory.RequestBodies)
	if err := holding.Reserve(max(declared, 0)); err != nil {
		return nil, err
	}
	if err := e.setReadDeadline(time.Now().Add(left)); err != nil {
		holding.Release()
		return nil, err
	}
	body, err := memory.ReadBody(holding, e.r.Body, declared, limit)
	if err != nil {
		return nil, err
	}
	return body, e.setReadDeadline(time.Time{})
}

// setReadDeadline limits the time to read from the caller; the zero time sets no limit.
func (e *exchange) setReadDeadline(deadline time.Time) error {
	err := http.NewResponseController(e.w).SetReadDeadline(deadline)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// refuseBody responds to a request whose body was not read completely.
func (e *exchange) refuseBody(err error) {
	var noRoom memory.NoRoomError
	var tooLong memory.TooLongError
	switch {
	case errors.As(err, &noRoom):
		e.refuse(verdict.CodeTooMany, memoryRetryAfter)
	case errors.As(err, &tooLong):
		e.deny(rejection{http.StatusRequestEntityTooLarge, err.Error()})
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.refuse(verdict.CodeTimeout, 0)
	default:
		e.reject(rejection{http.StatusBadRequest, "reading the body: " + err.Error()})
	}
}
