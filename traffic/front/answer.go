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

// heldAnswerBytes is the size up to which an answer is read whole before its
// head goes to the caller. A lost connection then gives a clean error, and the
// server's slot does not wait for a slow caller.
const heldAnswerBytes = 16 << 10

var answerBuffers = sync.Pool{New: func() any { return new([heldAnswerBytes]byte) }}

// answer is a server's answer on its way to the caller.
type answer struct {
	status int
	header http.Header
	buffer *[heldAnswerBytes]byte
	start  []byte    // The first bytes, in buffer.
	rest   io.Reader // What follows; nil when start is the whole body.
	source io.Closer
	server string // Name of the server, empty when another VM sent.
	bytes  int64  // Written to the caller.
	// recorded is the status of a recorded answer, empty for a fresh one.
	recorded string
	end      func(whole bool) // Gives back the server's slot; nil when that is done.
}

// hold reads the start of an answer, and all of a small one.
func hold(received *upstream.Response) (*answer, *upstream.Failure) {
	a := &answer{
		status: received.StatusCode,
		header: received.Header,
		buffer: answerBuffers.Get().(*[heldAnswerBytes]byte),
	}
	n, err := io.ReadFull(received.Body, a.buffer[:])
	a.start = a.buffer[:n]
	switch {
	case err == nil:
		a.rest, a.source = received.Body, received.Body
		return a, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && !isFailure(err):
		received.Body.Close()
		return a, nil
	default:
		received.Body.Close()
		a.free()
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

// free gives back the buffer.
func (a *answer) free() {
	answerBuffers.Put(a.buffer)
	a.buffer, a.start = nil, nil
}

// close ends the answer; whole says that its end was reached.
func (a *answer) close(whole bool) {
	if a.source != nil {
		a.source.Close()
	}
	if a.end != nil {
		a.end(whole)
	}
	a.free()
}

// writeOutcome gives the outcome to the caller, or to the VM that forwarded.
func (h *Handler) writeOutcome(ctx context.Context, w http.ResponseWriter, c *call, out outcome) {
	control := http.NewResponseController(w)
	if c.body.isCut() {
		w.Header()["Connection"] = []string{"close"}
		defer func() {
			control.Flush()
			time.Sleep(linger)
		}()
	}
	if out.answer == nil {
		writeFailure(w, out)
		return
	}
	until, _ := ctx.Deadline()
	control.SetWriteDeadline(until.Add(deadlineSlack))
	writeHead(w, out)
	pass := h.passAnswer(ctx, c)
	err := out.answer.copyTo(w, control, pass)
	c.seen.ResponseBytes = out.answer.bytes
	out.answer.close(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler) // Ends the connection: no part passes as whole.
	}
	control.SetWriteDeadline(time.Time{})
}

// passAnswer returns what holds the answer back to the link's rate: at the VM
// from which it crosses, or here when this VM read it from a server elsewhere.
// It is nil when the answer does not cross.
func (h *Handler) passAnswer(ctx context.Context, c *call) func(int) error {
	if !c.crossing {
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
	copyHeaders(header, out.answer.header)
	header[verdict.Header] = []string{out.verdict.String()}
	header[verdict.HeaderCode] = []string{string(out.code)}
	if out.answer.recorded != "" {
		header[HeaderRecordedStatus] = []string{out.answer.recorded}
	}
	w.WriteHeader(out.answer.status)
}

// copyTo writes the body. It fails when the server's answer ended early, or the
// caller did not take all of it.
func (a *answer) copyTo(w io.Writer, control *http.ResponseController, pass func(int) error) error {
	if err := a.write(w, a.start, pass); err != nil {
		return err
	}
	for a.rest != nil {
		n, err := a.rest.Read(a.buffer[:])
		if n > 0 {
			if writeErr := a.write(w, a.buffer[:n], pass); writeErr != nil {
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

func (a *answer) write(w io.Writer, part []byte, pass func(int) error) error {
	step := len(part)
	if pass != nil {
		step = link.Burst
	}
	for len(part) > 0 {
		next := part[:min(step, len(part))]
		part = part[len(next):]
		if pass != nil {
			if err := pass(len(next)); err != nil {
				return err
			}
		}
		n, err := w.Write(next)
		a.bytes += int64(n)
		if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return err
		}
	}
	return nil
}

// writeFailure tells the verdict of a request without an answer.
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

// refuse refuses a request that was not taken.
func (h *Handler) refuse(w http.ResponseWriter, refused *refusal) {
	count, ok := h.refusals.Load(refused.code)
	if !ok {
		count, _ = h.refusals.LoadOrStore(refused.code, new(atomic.Int64))
	}
	count.(*atomic.Int64).Add(1)
	writeFailure(w, notRun(refused.code, refused.detail))
}
