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

// heldBodyBytes is the size up to which a request's body is read before the
// request waits for a slot. A slow caller then holds no slot, and the request
// can be sent again. A larger body streams through.
const heldBodyBytes = 64 << 10

// errBodyTooLarge ends a body that grew past the limit while it streamed.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// body is the body of a caller's request.
type body struct {
	held   []byte
	stream *stream // Nil when the body is held whole.
}

// replayable says whether the body can be sent again.
func (b *body) replayable() bool {
	return b.stream == nil || !b.stream.started.Load()
}

// linger is how long a connection whose request body was not read stays open
// after the answer. Closing it at once would reset it, and the caller might
// lose the answer (RFC 9112, section 9.6).
const linger = 200 * time.Millisecond

// isCut says that the body was given up before its end.
func (b *body) isCut() bool { return b.stream != nil && b.stream.cut.Load() }

// attach sets the body of an outgoing request.
func (b *body) attach(request *http.Request) {
	switch {
	case b.stream != nil:
		request.Body = b.stream
		request.ContentLength = b.stream.length
	case len(b.held) > 0:
		request.Body = io.NopCloser(bytes.NewReader(b.held))
		request.ContentLength = int64(len(b.held))
	}
}

// readBody reads a small body whole, and prepares a larger one for streaming.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) (body, *refusal) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return body{}, nil
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(until)
	size := int64(heldBodyBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, size))
	if err != nil {
		return body{}, &refusal{verdict.CodeBadRequest, "the body could not be read"}
	}
	if int64(len(held)) < size || int64(len(held)) == r.ContentLength {
		control.SetReadDeadline(time.Time{})
		return body{held: held}, nil
	}
	return body{stream: &stream{
		source:  io.MultiReader(bytes.NewReader(held), r.Body),
		control: control,
		length:  r.ContentLength,
		left:    limit,
	}}, nil
}

// stream is a body that is passed on as it arrives.
type stream struct {
	source  io.Reader
	control *http.ResponseController
	length  int64 // -1 when unknown.
	left    int64
	// pass holds the body back to the rate of a link; nil lets it through.
	pass    func(count int) error
	passed  atomic.Int64
	started atomic.Bool
	ended   atomic.Bool
	cut     atomic.Bool // Closed before its end.
}

// Streamed implements upstream.Streamed.
func (s *stream) Streamed() {}

// Read passes the body on, up to the limit.
func (s *stream) Read(p []byte) (int, error) {
	s.started.Store(true)
	n, err := s.source.Read(p)
	s.left -= int64(n)
	s.passed.Add(int64(n))
	if s.left < 0 {
		return 0, errBodyTooLarge
	}
	if s.pass != nil {
		if passErr := s.pass(n); passErr != nil {
			return 0, passErr
		}
	}
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
		s.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close ends a Read that waits for a slow caller. After the body's end it does
// nothing: net/http reads on to notice when the caller leaves.
func (s *stream) Close() error {
	if s.ended.Load() {
		return nil
	}
	s.cut.Store(true)
	return s.control.SetReadDeadline(time.Unix(1, 0))
}
