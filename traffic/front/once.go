package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/verdict"
)

// HeaderRecordedStatus carries the status of the recorded response to an
// earlier request with the same idempotency key.
const HeaderRecordedStatus = "Guavacrank-Recorded-Status"

// runAtMostOnce runs a request. A non-idempotent request with an idempotency
// key runs at most once across all VMs.
func (h *Handler) runAtMostOnce(ctx context.Context, c *call) outcome {
	if c.class.Idempotent || c.idempotencyKey == "" {
		return h.run(ctx, c)
	}
	if h.options.IdempotencyRecords == nil {
		return notRun(verdict.CodeStore, "this VM keeps no records of idempotency keys")
	}
	claim, record, err := h.options.IdempotencyRecords.Begin(ctx, c.service.Name, c.idempotencyKey, c.fingerprint())
	if err != nil {
		h.reportRecordFailure(c, err)
		return notRun(verdict.CodeStore, "the idempotency key could not be recorded: "+err.Error())
	}
	if record != nil {
		return outcomeFromRecord(c, record)
	}
	return recordOutcome(ctx, claim, h.run(ctx, c))
}

// reportRecordFailure emits an event that a record could not be created, at
// most once a second.
func (h *Handler) reportRecordFailure(c *call, err error) {
	second := int64(h.now()/time.Second) + 1
	if h.lastRecordEvent.Swap(second) != second {
		h.options.Events(event.New(event.RecordsUnavailable, err.Error(), "service", c.service.Name))
	}
}

// recordOutcome records the outcome of a request under its claim on the
// idempotency key.
func recordOutcome(ctx context.Context, claim *once.Claim, out outcome) outcome {
	switch {
	case out.verdict == verdict.NotRun:
		claim.Release(ctx) // If this fails, a retry gets the verdict may_have_run.
	case out.response == nil:
		claim.MarkUnknown()
	case out.response.rest == nil:
		claim.Finish(out.response.record(true))
	default:
		out.response.recordOnEnd(claim)
	}
	return out
}

// record returns the part of the response that is stored in a record.
func (r *response) record(whole bool) once.Response {
	return once.NewResponse(r.status, r.header.Get("Content-Type"), r.buffered, whole)
}

// recordOnEnd records a streamed response when it is closed.
func (r *response) recordOnEnd(claim *once.Claim) {
	end := r.onEnd
	r.onEnd = func(whole bool) {
		if end != nil {
			end(whole)
		}
		if whole {
			claim.Finish(r.record(false))
			return
		}
		claim.MarkUnknown()
	}
}

// outcomeFromRecord returns the outcome of a request whose idempotency key has a
// record.
func outcomeFromRecord(c *call, record *once.Record) outcome {
	if record.Fingerprint != c.fingerprint() {
		return notRun(verdict.CodeOnceDifferent, "the idempotency key belongs to another request")
	}
	switch record.State {
	case once.Finished:
		return replay(record.Response)
	case once.Begun:
		return mayHaveRun(verdict.CodeOnceRunning, "an earlier request with this idempotency key is under way, or its end was not recorded")
	default:
		return mayHaveRun(verdict.CodeOnceUnknown, "an earlier request with this idempotency key ended without proof of whether it ran")
	}
}

// replay returns the recorded response.
func replay(recorded *once.Response) outcome {
	status := strconv.Itoa(recorded.Status)
	r := &response{
		status: recorded.Status,
		header: http.Header{},
		buffer: responseBuffers.Get().(*[maxBufferedResponse]byte),
	}
	body := recorded.Body
	if !recorded.HasBody {
		r.status = verdict.CodeOnceFinished.Status()
		body = []byte("once_finished: the earlier request was answered with status " + status + "; its body was not kept\n")
	} else if recorded.ContentType != "" {
		r.header.Set("Content-Type", recorded.ContentType)
	}
	r.buffered = append(r.buffer[:0], body...)
	r.recordedStatus = status
	return outcome{verdict: verdict.Answered, code: verdict.CodeOnceFinished, response: r}
}

// fingerprint returns a hash that identifies the request. For a body that is
// too large to be buffered it covers only the length and not the content.
func (c *call) fingerprint() string {
	sum := sha256.New()
	for _, part := range []string{c.request.Method, c.path, c.request.URL.RawQuery, c.class.Name} {
		io.WriteString(sum, strconv.Itoa(len(part))+":"+part)
	}
	if c.body.stream != nil {
		io.WriteString(sum, "stream:"+strconv.FormatInt(c.body.stream.length, 10))
	}
	sum.Write(c.body.buffered)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}
