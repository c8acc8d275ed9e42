package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/traffic/verdict"
)

const (
	// defaultBodyLimit limits a request body if the configuration sets no limit.
	defaultBodyLimit = 64 << 20
	// bodyMemoryDivisor limits all request bodies together to 1/4 of the process's
	// memory limit.
	bodyMemoryDivisor = 4
	// memoryRetryAfter is the Retry-After of a VM without memory for a body.
	memoryRetryAfter = 100 * time.Millisecond
)

// errNoBodyMemory reports that the memory for request bodies is used up.
var errNoBodyMemory = errors.New("the memory for request bodies is used up")

// bodyTooLargeError reports a body beyond the configured limit in bytes.
type bodyTooLargeError struct{ limit int64 }

func (e bodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.limit)
}

// readBody reads the complete body, up to the limit and the memory left for bodies. The
// error is a bodyTooLargeError, errNoBodyMemory, the cause of the end of ctx or that of
// reading.
func (e *exchange) readBody(ctx context.Context, limit int64) ([]byte, error) {
	if e.r.Body == nil || e.r.Body == http.NoBody {
		return nil, nil
	}
	defer e.endReadingWith(ctx)()
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	room := max(e.options.MemoryBytes/bodyMemoryDivisor-e.bodyBytes.Load(), 0)
	body, err := io.ReadAll(io.LimitReader(e.r.Body, min(limit, room)+1))
	e.bodyBytes.Add(int64(len(body)))
	switch size := int64(len(body)); {
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return body, context.Cause(ctx)
	case err != nil:
		return body, fmt.Errorf("reading the body: %w", err)
	case size > limit:
		return body, bodyTooLargeError{limit}
	case size > room:
		return body, errNoBodyMemory
	}
	return body, nil
}

// endReadingWith makes reading the body return when ctx ends, until the returned
// function is called. A connection that can't be read any more is closed after the
// response.
func (e *exchange) endReadingWith(ctx context.Context) (release func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		e.endReading()
	})
	return func() {
		if !stop() {
			<-ended
			e.w.Header().Set("Connection", "close")
		}
	}
}

// endReading makes reading the body return.
func (e *exchange) endReading() {
	if err := http.NewResponseController(e.w).SetReadDeadline(time.Now()); err != nil {
		e.options.Log.Event(event.CallerLeft, err.Error(), zap.String("request", e.head.ID))
	}
}

// refuseBody responds to a request whose body was not read completely.
func (e *exchange) refuseBody(err error) {
	var tooLarge bodyTooLargeError
	switch {
	case errors.Is(err, shutdown.ErrInterrupted):
		e.refuse(verdict.CodeStopping, shutdown.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		e.refuse(verdict.CodeTimeout, 0)
	case errors.Is(err, errNoBodyMemory):
		e.refuse(verdict.CodeTooMany, memoryRetryAfter)
	case errors.As(err, &tooLarge):
		e.deny(rejection{http.StatusRequestEntityTooLarge, err.Error()})
	default:
		e.reject(rejection{http.StatusBadRequest, err.Error()})
	}
}
