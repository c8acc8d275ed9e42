package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/event"
	"guavacrank.example/traffic/pick"
	"guavacrank.example/traffic/queue"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// admission is a request's hold on a server: its slot, and the note that its
// unit has a request in flight.
type admission struct {
	handler *Handler
	call    *call
	to      target
	gate    *queue.Gate
	ticket  *queue.Ticket
	member  *member // Set by confirm.
	group   *group  // Set by confirm in a service not divided by key.
	sentAt  time.Duration
}

// send admits the request to the queue of a server or a group, and sends it. A
// request that the server sheds goes back to the queue's front once, if the
// retry budget pays for it.
func (h *Handler) send(ctx context.Context, c *call, to target) (out outcome) {
	a := &admission{handler: h, call: c, to: to, gate: gateOf(to)}
	arrived := h.now()
	if to.group != nil && !c.forwarded {
		to.group.seen.BeginRequest()
		defer func() { to.group.seen.EndRequest(h.now(), groupResult(out), h.now()-arrived) }()
	}
	var decision queue.Decision
	waiting := arrived
	a.ticket, decision = a.gate.Enter(ctx, queue.Request{Priority: c.class.Priority, Deadline: c.deadline, MaxWait: c.maxWait})
	for requeued := false; ; requeued = true {
		c.seen.Queue += h.now() - waiting
		if decision != queue.Admitted {
			return h.refused(c, a.gate, decision)
		}
		out = a.once(ctx)
		if out.code != verdict.CodeShed || requeued || ctx.Err() != nil ||
			!c.body.replayable() || !c.service.state.budget.Spend() {
			if out.answer == nil {
				a.gate.Leave(a.ticket, false)
			}
			return out
		}
		waiting = h.now()
		c.attempt++
		a.ticket, decision = a.gate.Requeue(ctx, a.ticket)
	}
}

// groupResult tells how a group took a request: only answers say how fast it is.
func groupResult(out outcome) pick.Result {
	if out.verdict == verdict.Answered {
		return pick.Succeeded
	}
	return pick.Canceled
}

func gateOf(to target) *queue.Gate {
	if to.group != nil {
		return to.group.gate
	}
	return to.server.gate
}

// once makes one send. Without an answer the slot is still held afterwards.
func (a *admission) once(ctx context.Context) outcome {
	h, c := a.handler, a.call
	units := c.service.state.units
	units.BeginRequest(a.to.unit)
	if code := a.confirm(); code != "" {
		units.EndRequest(a.to.unit)
		return notRun(code, "the route changed, or the deadline passed, while the request waited")
	}
	units.Count(a.to.unit)
	c.service.state.keys.Count(c.key)
	if err := h.passOut(ctx, c, a.to.crossing && !c.forwarded); err != nil {
		units.EndRequest(a.to.unit)
		return notRun(endCode(c), "waited for the link between regions")
	}
	a.sentAt = h.now()
	a.member.seen.BeginRequest()
	received, failure := a.member.pool.Do(ctx, c.serverRequest(a.to, a.sentAt), !c.class.Idempotent)
	c.seen.Backend += h.now() - a.sentAt
	if failure != nil {
		a.learn(resultOf(c, failure))
		a.release(failure.Sent)
		return classify(c, failure)
	}
	return a.take(received)
}

// confirm checks, after the request was noted in flight, that this VM may
// still send it, and takes over the newest epoch. A VM that was paused finds
// here that its right, or the deadline, has passed.
func (a *admission) confirm() verdict.Code {
	h, c := a.handler, a.call
	if c.remaining(h.now()) <= 0 || c.mayRunUntil > 0 && h.options.Elapsed() >= c.mayRunUntil {
		return verdict.CodeTimeout
	}
	v := h.current()
	s := v.services[c.service.Name]
	if s == nil {
		return verdict.CodeUnknownService
	}
	if !s.DividedByKey {
		if a.group = groupFor(s, a.to.group); a.group == nil {
			return verdict.CodeMoved
		}
		a.member = h.pickMember(a.group, c)
		return ""
	}
	unit, ok := s.Lookup(c.key)
	if !ok || unit.ID != a.to.unit || unit.Server == nil {
		return verdict.CodeMoved
	}
	a.member = s.members[unit.Server]
	if a.member == nil || a.member.server != a.to.server {
		return verdict.CodeMoved
	}
	a.to.epoch = unit.Epoch
	declared := a.member.declared
	if !declared.ChecksGrants && (declared.Home != v.snapshot.Self || h.options.Elapsed() >= declared.HomeUntil) {
		return verdict.CodeMoved
	}
	return ""
}

// release ends the note that the unit has a request in flight. sent says that
// the request may have reached the server without a whole answer: a server
// that does not check grants may then still run it until its deadline.
func (a *admission) release(sent bool) {
	units, unit := a.call.service.state.units, a.to.unit
	if sent && a.group == nil && !a.member.declared.ChecksGrants {
		left := a.call.remaining(a.handler.now()) + deadlineSlack
		time.AfterFunc(left, func() { units.EndRequest(unit) })
		return
	}
	units.EndRequest(unit)
}

// learn notes how the server took the request.
func (a *admission) learn(result pick.Result) {
	now := a.handler.now()
	before := a.member.seen.Eligible(now)
	a.member.seen.EndRequest(now, result, now-a.sentAt)
	well := a.member.seen.Eligible(now)
	if before && !well {
		a.handler.options.Events(event.New(event.ServerLeftOut, "failed several requests in a row",
			"service", a.call.service.Name, "server", a.member.name))
	}
	changed := false
	if result == pick.Refused || result == pick.Succeeded {
		changed = a.member.adapt(result == pick.Refused)
	}
	if a.group != nil && (changed || before != well) {
		s := a.call.service
		a.group.configure(now, limits{s.settings.QueueLimit * len(a.group.members), s.settings.BulkFloor})
	}
	if result == pick.Failed || result == pick.Refused {
		a.call.tried = append(a.call.tried, a.member.name)
	}
}

func resultOf(c *call, failure *upstream.Failure) pick.Result {
	switch {
	case failure.Stage == upstream.StageLimit:
		return pick.Refused
	case failure.Timeout && endCode(c) == verdict.CodeCallerGone:
		return pick.Canceled
	default:
		return pick.Failed
	}
}

// take reads an answer's head: a documented refusal proves that the request
// was not run, anything else is the server's answer.
func (a *admission) take(received *upstream.Response) outcome {
	if refusal := received.Header.Get(backend.HeaderRefused); refusal != "" {
		if code, ok := refusalCodes[backend.Refusal(refusal)]; ok {
			received.Body.Close()
			a.learn(refusalResult(code))
			a.release(false)
			return notRun(code, "the server refused: "+refusal)
		}
	}
	held, failure := hold(received)
	if failure != nil {
		a.learn(resultOf(a.call, failure))
		a.release(true)
		return classify(a.call, failure)
	}
	held.server = a.member.name
	end := func(whole bool) {
		a.learn(answerResult(received.StatusCode))
		a.gate.Leave(a.ticket, whole)
		a.release(!whole)
	}
	if held.rest == nil {
		end(true)
	} else {
		held.end = end
	}
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, answer: held}
}

func answerResult(status int) pick.Result {
	if status >= http.StatusInternalServerError {
		return pick.ServerError
	}
	return pick.Succeeded
}

// refusalResult says what a refusal tells about the server: one for want of
// room says that it is busy, one about the route says nothing.
func refusalResult(code verdict.Code) pick.Result {
	switch code {
	case verdict.CodeShed, verdict.CodeConnections, verdict.CodeDraining:
		return pick.Refused
	default:
		return pick.Canceled
	}
}

// refusalCodes gives the code of each documented refusal.
var refusalCodes = map[backend.Refusal]verdict.Code{
	backend.RefusedFence:       verdict.CodeFence,
	backend.RefusedShed:        verdict.CodeShed,
	backend.RefusedDraining:    verdict.CodeDraining,
	backend.RefusedDeadline:    verdict.CodeTooLate,
	backend.RefusedConnections: verdict.CodeConnections,
}

// refused turns the queue's decision into an outcome.
func (h *Handler) refused(c *call, gate *queue.Gate, decision queue.Decision) outcome {
	var out outcome
	switch decision {
	case queue.Canceled:
		return notRun(endCode(c), "waited in the server's queue")
	case queue.Busy:
		return notRun(verdict.CodeBusy, "the wait in this zone would be long")
	case queue.Late:
		out = notRun(verdict.CodeTooLate, "could not have finished within the deadline")
	default:
		out = notRun(verdict.CodeQueueFull, "the server's queue is full")
	}
	out.retryAfter = max(gate.State().Backlog, time.Millisecond)
	return out
}

// classify derives the verdict of a failed attempt from what was sent.
func classify(c *call, failure *upstream.Failure) outcome {
	if !failure.Sent {
		return notRun(failedCode(c, failure), failure.Error())
	}
	return mayHaveRun(failedCode(c, failure), failure.Error())
}

func failedCode(c *call, failure *upstream.Failure) verdict.Code {
	if failure.Timeout {
		return endCode(c)
	}
	switch failure.Stage {
	case upstream.StageLimit:
		return verdict.CodeConnections
	case upstream.StageConnect:
		return verdict.CodeConnect
	case upstream.StageWrite:
		return verdict.CodeWrite
	case upstream.StageTruncate:
		return verdict.CodeTruncated
	case upstream.StageUnframed:
		return verdict.CodeUnframed
	default:
		return verdict.CodeReset
	}
}

// endCode says why a context ended: the caller left, or the deadline passed.
func endCode(c *call) verdict.Code {
	if errors.Is(c.request.Context().Err(), context.Canceled) {
		return verdict.CodeCallerGone
	}
	return verdict.CodeTimeout
}

// passOut holds a held body of bulk back to the link's rate. A streamed body
// is held back as it is read.
func (h *Handler) passOut(ctx context.Context, c *call, crossing bool) error {
	if !crossing {
		return nil
	}
	out := c.service.state.out
	if c.body.stream != nil {
		c.body.stream.pass = func(count int) error { return out.Wait(ctx, c.class.Priority, count) }
		return nil
	}
	return out.Wait(ctx, c.class.Priority, len(c.body.held))
}
