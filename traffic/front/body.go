package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"guavacrank.example/traffic/verdict"
)

// maxBufferedBody is the size up to which a request body is read before the
// request waits for a slot. A slow caller then occupies no slot, and the
// request can be retried. A larger body is streamed.
const maxBufferedBody = 64 << 10

// errBodyTooLarge is the error for a streamed body that exceeds the limit.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// body is the body of a caller's request.
type body struct {
	buffered []byte
	stream   *stream // Nil if buffered holds the whole body.
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool {
	return b.stream == nil || !b.stream.started.Load()
}

// lingerTime is how long a connection stays open after the response if the
// request body was not read to its end. Closing it at once would send a reset,
// and the caller might lose the response (RFC 9112, section 9.6).
const lingerTime = 200 * time.Millisecond

// aborted reports whether the body was closed before its end.
func (b *body) aborted() bool { return b.stream != nil && b.stream.aborted.Load() }

// attach sets the body of an outgoing request.
func (b *body) attach(request *http.Request) {
	switch {
	case b.stream != nil:
		request.Body = b.stream
		request.ContentLength = b.stream.length
	case len(b.buffered) > 0:
		request.Body = io.NopCloser(bytes.NewReader(b.buffered))
		request.ContentLength = int64(len(b.buffered))
	}
}

// readBody reads a small body in full, and prepares a larger one for
// streaming.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (body, *refusal) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return body{}, nil
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(until)
	size := int64(maxBufferedBody)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, size))
	if err != nil {
		return body{}, &refusal{verdict.CodeBadRequest, "the body could not be read"}
	}
	if int64(len(buffered)) < size || int64(len(buffered)) == r.ContentLength {
		control.SetReadDeadline(time.Time{})
		return body{buffered: buffered}, nil
	}
	return body{stream: &stream{
		source:    io.MultiReader(bytes.NewReader(buffered), r.Body),
		control:   control,
		length:    r.ContentLength,
		remaining: limit,
	}}, nil
}

// stream is a request body that is forwarded as it arrives.
type stream struct {
	source    io.Reader
	control   *http.ResponseController
	length    int64 // -1 when unknown.
	remaining int64
	// pace delays the body to the rate of the link between regions; nil means
	// no delay.
	pace      func(count int) error
	bytesRead atomic.Int64
	started   atomic.Bool
	ended     atomic.Bool
	aborted   atomic.Bool // Set by a Close before the end of the body.
}

// Streamed implements upstream.Streamed.
func (s *stream) Streamed() {}

// Read implements io.Reader. It fails once the body exceeds the limit.
func (s *stream) Read(p []byte) (int, error) {
	s.started.Store(true)
	n, err := s.source.Read(p)
	s.remaining -= int64(n)
	s.bytesRead.Add(int64(n))
	if s.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if s.pace != nil {
		if paceErr := s.pace(n); paceErr != nil {
			return 0, paceErr
		}
	}
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
		s.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close interrupts a Read that waits for a slow caller. After the end of the
// body it does nothing, because net/http goes on reading to detect that the
// caller closes the connection.
func (s *stream) Close() error {
	if s.ended.Load() {
		return nil
	}
	s.aborted.Store(true)
	return s.control.SetReadDeadline(time.Unix(1, 0))
}
