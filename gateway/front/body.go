package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/traffic/verdict"
)

const (
	// defaultBodyLimit limits a request body if the configuration sets no limit.
	defaultBodyLimit = 64 << 20
	// memoryRetryAfter is the Retry-After of a VM without memory for a body.
	memoryRetryAfter = 100 * time.Millisecond
)

// readBody reads the complete body, up to the limit. A declared length is counted before
// the first byte. The error is a memory.TooLongError, a memory.NoRoomError, the cause of the
// end of ctx or that of reading.
func (e *exchange) readBody(ctx context.Context, limit int64) (*memory.Body, error) {
	if e.r.Body == nil || e.r.Body == http.NoBody {
		return nil, nil
	}
	defer e.endReadingWith(ctx)()
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
	body, err := memory.ReadBody(holding, e.r.Body, declared, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return body, err
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
	var noRoom memory.NoRoomError
	var tooLong memory.TooLongError
	switch {
	case errors.Is(err, shutdown.ErrInterrupted):
		e.refuse(verdict.CodeStopping, shutdown.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		e.refuse(verdict.CodeTimeout, 0)
	case errors.As(err, &noRoom):
		e.refuse(verdict.CodeTooMany, memoryRetryAfter)
	case errors.As(err, &tooLong):
		e.deny(rejection{http.StatusRequestEntityTooLarge, err.Error()})
	default:
		e.reject(rejection{http.StatusBadRequest, "reading the body: " + err.Error()})
	}
}
