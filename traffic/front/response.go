package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/traffic/link"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// maxBufferedResponse is the size up to which a response body is read in full
// before its header is sent to the caller. If the connection is lost before
// that, the caller gets a clean error, and a slow caller does not occupy the
// server's slot.
const maxBufferedResponse = 16 << 10

var responseBuffers = sync.Pool{New: func() any { return new([maxBufferedResponse]byte) }}

// response is a response that is sent to the caller.
type response struct {
	status   int
	header   http.Header
	buffer   *[maxBufferedResponse]byte
	buffered []byte    // The start of the body, in buffer.
	rest     io.Reader // The rest of the body; nil if buffered holds all of it.
	source   io.Closer
	server   string // Name of the server; empty if another VM sent the request to it.
	bytes    int64  // Number of body bytes written to the caller.
	// recordedStatus is the status of a response replayed from an idempotency
	// record; empty for a response from a server.
	recordedStatus string
	onEnd          func(whole bool) // Releases the server's slot; nil if it was released already.
}

// bufferResponse reads up to maxBufferedResponse bytes of the body.
func bufferResponse(received *upstream.Response) (*response, *upstream.Failure) {
	r := &response{
		status: received.StatusCode,
		header: received.Header,
		buffer: responseBuffers.Get().(*[maxBufferedResponse]byte),
	}
	n, err := io.ReadFull(received.Body, r.buffer[:])
	r.buffered = r.buffer[:n]
	switch {
	case err == nil:
		r.rest, r.source = received.Body, received.Body
		return r, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && !isFailure(err):
		received.Body.Close()
		return r, nil
	default:
		received.Body.Close()
		r.free()
		return nil, asFailure(err)
	}
}

func isFailure(err error) bool {
	var failure *upstream.Failure
	return errors.As(err, &failure)
}

func asFailure(err error) *upstream.Failure {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &upstream.Failure{Stage: upstream.StageTruncate, Sent: true, Err: err}
}

// free returns the buffer to the pool.
func (r *response) free() {
	responseBuffers.Put(r.buffer)
	r.buffer, r.buffered = nil, nil
}

// close closes the response; whole reports whether its end was reached.
func (r *response) close(whole bool) {
	if r.source != nil {
		r.source.Close()
	}
	if r.onEnd != nil {
		r.onEnd(whole)
	}
	r.free()
}

// writeOutcome sends the outcome to the caller, or to the VM that forwarded
// the request.
func (h *Handler) writeOutcome(ctx context.Context, w http.ResponseWriter, c *call, out outcome) {
	control := http.NewResponseController(w)
	if c.body.aborted() {
		w.Header()["Connection"] = []string{"close"}
		defer func() {
			control.Flush()
			time.Sleep(lingerTime)
		}()
	}
	if out.response == nil {
		writeFailure(w, out)
		return
	}
	until, _ := ctx.Deadline()
	control.SetWriteDeadline(until.Add(deadlineSlack))
	writeHead(w, out)
	pace := h.responsePacer(ctx, c)
	err := out.response.copyTo(w, control, pace)
	c.observation.ResponseBytes = out.response.bytes
	out.response.close(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler) // Closes the connection, so that a partial response is not taken for a complete one.
	}
	control.SetWriteDeadline(time.Time{})
}

// responsePacer returns a function that delays the response to the rate of the
// link between regions. The VM that sends the response over the link applies
// it, or this VM if it reads the response from a server in another region. It
// is nil if the response does not cross regions.
func (h *Handler) responsePacer(ctx context.Context, c *call) func(int) error {
	if !c.crossRegion {
		return nil
	}
	pacer := c.service.state.in
	if c.forwarded {
		pacer = c.service.state.out
	}
	return func(count int) error { return pacer.Wait(ctx, c.class.Priority, count) }
}

func writeHead(w http.ResponseWriter, out outcome) {
	header := w.Header()
	copyHeaders(header, out.response.header)
	header[verdict.Header] = []string{out.verdict.String()}
	header[verdict.HeaderCode] = []string{string(out.code)}
	if out.response.recordedStatus != "" {
		header[HeaderRecordedStatus] = []string{out.response.recordedStatus}
	}
	w.WriteHeader(out.response.status)
}

// copyTo writes the body. It fails if the server's response is cut short or
// the caller does not read all of it.
func (r *response) copyTo(w io.Writer, control *http.ResponseController, pace func(int) error) error {
	if err := r.write(w, r.buffered, pace); err != nil {
		return err
	}
	for r.rest != nil {
		n, err := r.rest.Read(r.buffer[:])
		if n > 0 {
			if writeErr := r.write(w, r.buffer[:n], pace); writeErr != nil {
				return writeErr
			}
			control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *response) write(w io.Writer, part []byte, pace func(int) error) error {
	step := len(part)
	if pace != nil {
		step = link.Burst
	}
	for len(part) > 0 {
		next := part[:min(step, len(part))]
		part = part[len(next):]
		if pace != nil {
			if err := pace(len(next)); err != nil {
				return err
			}
		}
		n, err := w.Write(next)
		r.bytes += int64(n)
		if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return err
		}
	}
	return nil
}

// writeFailure responds with the verdict of a request that got no response.
func writeFailure(w http.ResponseWriter, out outcome) {
	header := w.Header()
	header[verdict.Header] = []string{out.verdict.String()}
	header[verdict.HeaderCode] = []string{string(out.code)}
	if out.retryAfter > 0 {
		seconds := (out.retryAfter + time.Second - 1) / time.Second
		header["Retry-After"] = []string{strconv.FormatInt(int64(seconds), 10)}
		header[HeaderRetryAfter] = []string{strconv.FormatInt(max(out.retryAfter.Milliseconds(), 1), 10)}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	w.WriteHeader(out.code.Status())
	io.WriteString(w, string(out.code)+": "+out.detail+"\n")
}

// refuse counts a refusal and responds with it.
func (h *Handler) refuse(w http.ResponseWriter, refused *refusal) {
	count, ok := h.refusals.Load(refused.code)
	if !ok {
		count, _ = h.refusals.LoadOrStore(refused.code, new(atomic.Int64))
	}
	count.(*atomic.Int64).Add(1)
	writeFailure(w, notRun(refused.code, refused.detail))
}
