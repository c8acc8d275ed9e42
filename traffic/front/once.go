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

// HeaderRecordedStatus gives the status of the recorded answer of an earlier
// request with the same idempotency key.
const HeaderRecordedStatus = "Guavacrank-Recorded-Status"

// runOnce runs a request; a non-idempotent one with an idempotency key at most
// once over all VMs.
func (h *Handler) runOnce(ctx context.Context, c *call) outcome {
	if c.class.Idempotent || c.once == "" {
		return h.run(ctx, c)
	}
	if h.options.IdempotencyRecords == nil {
		return notRun(verdict.CodeStore, "this VM keeps no records of idempotency keys")
	}
	claim, earlier, err := h.options.IdempotencyRecords.Begin(ctx, c.service.Name, c.once, c.fingerprint())
	if err != nil {
		h.tellRecords(c, err)
		return notRun(verdict.CodeStore, "the idempotency key could not be recorded: "+err.Error())
	}
	if earlier != nil {
		return repeated(c, earlier)
	}
	return conclude(ctx, claim, h.run(ctx, c))
}

// tellRecords logs that a record could not be created, at most once a second.
func (h *Handler) tellRecords(c *call, err error) {
	second := int64(h.now()/time.Second) + 1
	if h.recordsTold.Swap(second) != second {
		h.options.Events(event.New(event.RecordsUnavailable, err.Error(), "service", c.service.Name))
	}
}

// conclude records the end of a request that held a claim.
func conclude(ctx context.Context, claim *once.Claim, out outcome) outcome {
	switch {
	case out.verdict == verdict.NotRun:
		claim.Release(ctx) // If it fails, a repeat is told may_have_run.
	case out.answer == nil:
		claim.MarkUnknown()
	case out.answer.rest == nil:
		claim.Finish(out.answer.kept(true))
	default:
		out.answer.recordEnd(claim)
	}
	return out
}

// kept returns what a record keeps of the answer.
func (a *answer) kept(whole bool) once.Response {
	return once.NewResponse(a.status, a.header.Get("Content-Type"), a.start, whole)
}

// recordEnd records a streamed answer once its end is known.
func (a *answer) recordEnd(claim *once.Claim) {
	end := a.end
	a.end = func(whole bool) {
		if end != nil {
			end(whole)
		}
		if whole {
			claim.Finish(a.kept(false))
			return
		}
		claim.MarkUnknown()
	}
}

// repeated answers a request whose idempotency key was used before.
func repeated(c *call, earlier *once.Record) outcome {
	if earlier.Fingerprint != c.fingerprint() {
		return notRun(verdict.CodeOnceDifferent, "the idempotency key belongs to another request")
	}
	switch earlier.State {
	case once.Finished:
		return replay(earlier.Response)
	case once.Begun:
		return mayHaveRun(verdict.CodeOnceRunning, "an earlier request with this idempotency key is under way, or its end was not recorded")
	default:
		return mayHaveRun(verdict.CodeOnceUnknown, "an earlier request with this idempotency key ended without proof of whether it ran")
	}
}

// replay answers with what was recorded of the earlier answer.
func replay(kept *once.Response) outcome {
	status := strconv.Itoa(kept.Status)
	a := &answer{
		status: kept.Status,
		header: http.Header{},
		buffer: answerBuffers.Get().(*[heldAnswerBytes]byte),
	}
	body := kept.Body
	if !kept.HasBody {
		a.status = verdict.CodeOnceFinished.Status()
		body = []byte("once_finished: the earlier request was answered with status " + status + "; its body was not kept\n")
	} else if kept.ContentType != "" {
		a.header.Set("Content-Type", kept.ContentType)
	}
	a.start = append(a.buffer[:0], body...)
	a.recorded = status
	return outcome{verdict: verdict.Answered, code: verdict.CodeOnceFinished, answer: a}
}

// fingerprint tells a request from another one. Of a body too large to be held
// only the length counts.
func (c *call) fingerprint() string {
	sum := sha256.New()
	for _, part := range []string{c.request.Method, c.path, c.request.URL.RawQuery, c.class.Name} {
		io.WriteString(sum, strconv.Itoa(len(part))+":"+part)
	}
	if c.body.stream != nil {
		io.WriteString(sum, "stream:"+strconv.FormatInt(c.body.stream.length, 10))
	}
	sum.Write(c.body.held)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}
