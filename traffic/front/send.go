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

// admission is a request's slot in the queue of a server or group, and its
// entry in the count of requests in flight for its unit.
type admission struct {
	handler *Handler
	call    *call
	to      target
	gate    *queue.Gate
	ticket  *queue.Ticket
	member  *member // Set by confirmRoute.
	group   *group  // Set by confirmRoute in a service that is not divided by key.
	sentAt  time.Duration
}

// send queues the request for a server or group, and sends it. A request that
// the server sheds returns to the front of the queue once, if the retry budget
// allows.
func (h *Handler) send(ctx context.Context, c *call, to target) (out outcome) {
	a := &admission{handler: h, call: c, to: to, gate: gateOf(to)}
	arrived := h.now()
	if to.group != nil && !c.forwarded {
		to.group.stats.BeginRequest()
		defer func() { to.group.stats.EndRequest(h.now(), groupResult(out), h.now()-arrived) }()
	}
	var decision queue.Decision
	queuedAt := arrived
	a.ticket, decision = a.gate.Enter(ctx, queue.Request{Priority: c.class.Priority, Deadline: c.deadline, MaxWait: c.maxWait})
	for requeued := false; ; requeued = true {
		c.observation.Queue += h.now() - queuedAt
		if decision != queue.Admitted {
			return h.refusedOutcome(c, a.gate, decision)
		}
		out = a.sendOnce(ctx)
		if out.code != verdict.CodeShed || requeued || ctx.Err() != nil ||
			!c.body.replayable() || !c.service.state.budget.Spend() {
			if out.response == nil {
				a.gate.Leave(a.ticket, false)
			}
			return out
		}
		queuedAt = h.now()
		c.attempt++
		a.ticket, decision = a.gate.Requeue(ctx, a.ticket)
	}
}

// groupResult returns the result to record for a group. Only a response counts
// as success, because only its latency is known.
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

// sendOnce makes one attempt. The slot is still occupied afterwards if there
// is no response.
func (a *admission) sendOnce(ctx context.Context) outcome {
	h, c := a.handler, a.call
	units := c.service.state.units
	units.BeginRequest(a.to.unit)
	if code := a.confirmRoute(); code != "" {
		units.EndRequest(a.to.unit)
		return notRun(code, "the route changed, or the deadline passed, while the request waited")
	}
	units.Count(a.to.unit)
	c.service.state.keys.Count(c.key)
	if err := h.paceRequest(ctx, c, a.to.crossRegion && !c.forwarded); err != nil {
		units.EndRequest(a.to.unit)
		return notRun(contextEndCode(c), "waited for the link between regions")
	}
	a.sentAt = h.now()
	a.member.stats.BeginRequest()
	received, failure := a.member.pool.Do(ctx, c.serverRequest(a.to, a.sentAt), !c.class.Idempotent)
	c.observation.Backend += h.now() - a.sentAt
	if failure != nil {
		a.recordResult(resultOf(c, failure))
		a.releaseUnit(failure.Sent)
		return classify(c, failure)
	}
	return a.readResponse(received)
}

// confirmRoute checks that this VM may still send the request, and takes the
// epoch from the newest snapshot. It runs after the request was counted as in
// flight. On a VM that was suspended, it detects that the right to send or the
// deadline has expired.
func (a *admission) confirmRoute() verdict.Code {
	h, c := a.handler, a.call
	if c.remaining(h.now()) <= 0 || c.elapsedDeadline > 0 && h.options.Elapsed() >= c.elapsedDeadline {
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

// releaseUnit removes the request from the count of requests in flight for its
// unit. sent is set if the request may have reached the server and no complete
// response arrived. A server that does not check grants may then run it until
// its deadline, so it is removed only after that.
func (a *admission) releaseUnit(sent bool) {
	units, unit := a.call.service.state.units, a.to.unit
	if sent && a.group == nil && !a.member.declared.ChecksGrants {
		left := a.call.remaining(a.handler.now()) + deadlineSlack
		time.AfterFunc(left, func() { units.EndRequest(unit) })
		return
	}
	units.EndRequest(unit)
}

// recordResult records the result of the request in the statistics of its
// server.
func (a *admission) recordResult(result pick.Result) {
	now := a.handler.now()
	wasEligible := a.member.stats.Eligible(now)
	a.member.stats.EndRequest(now, result, now-a.sentAt)
	eligible := a.member.stats.Eligible(now)
	if wasEligible && !eligible {
		a.handler.options.Events(event.New(event.ServerEjected, "failed several requests in a row",
			"service", a.call.service.Name, "server", a.member.name))
	}
	changed := false
	if result == pick.Refused || result == pick.Succeeded {
		changed = a.member.adapt(result == pick.Refused)
	}
	if a.group != nil && (changed || wasEligible != eligible) {
		s := a.call.service
		a.group.configure(now, limits{s.settings.QueueLimit * len(a.group.members), s.settings.BulkFloor})
	}
	if result == pick.Failed || result == pick.Refused {
		a.call.failedServers = append(a.call.failedServers, a.member.name)
	}
}

func resultOf(c *call, failure *upstream.Failure) pick.Result {
	switch {
	case failure.Stage == upstream.StageLimit:
		return pick.Refused
	case failure.Timeout && contextEndCode(c) == verdict.CodeCallerGone:
		return pick.Canceled
	default:
		return pick.Failed
	}
}

// readResponse reads a response. A documented refusal proves that the request
// was not run; any other response is forwarded to the caller.
func (a *admission) readResponse(received *upstream.Response) outcome {
	if refusal := received.Header.Get(backend.HeaderRefused); refusal != "" {
		if code, ok := refusalCodes[backend.Refusal(refusal)]; ok {
			received.Body.Close()
			a.recordResult(refusalResult(code))
			a.releaseUnit(false)
			return notRun(code, "the server refused: "+refusal)
		}
	}
	response, failure := bufferResponse(received)
	if failure != nil {
		a.recordResult(resultOf(a.call, failure))
		a.releaseUnit(true)
		return classify(a.call, failure)
	}
	response.server = a.member.name
	end := func(whole bool) {
		a.recordResult(statusResult(received.StatusCode))
		a.gate.Leave(a.ticket, whole)
		a.releaseUnit(!whole)
	}
	if response.rest == nil {
		end(true)
	} else {
		response.onEnd = end
	}
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, response: response}
}

func statusResult(status int) pick.Result {
	if status >= http.StatusInternalServerError {
		return pick.ServerError
	}
	return pick.Succeeded
}

// refusalResult returns the result to record for a refusal. A refusal for lack
// of capacity shows that the server is busy; one about the route says nothing
// about the server.
func refusalResult(code verdict.Code) pick.Result {
	switch code {
	case verdict.CodeShed, verdict.CodeConnections, verdict.CodeDraining:
		return pick.Refused
	default:
		return pick.Canceled
	}
}

// refusalCodes maps each documented refusal to its code.
var refusalCodes = map[backend.Refusal]verdict.Code{
	backend.RefusedFence:       verdict.CodeFence,
	backend.RefusedShed:        verdict.CodeShed,
	backend.RefusedDraining:    verdict.CodeDraining,
	backend.RefusedDeadline:    verdict.CodeTooLate,
	backend.RefusedConnections: verdict.CodeConnections,
}

// refusedOutcome converts the queue's decision into an outcome.
func (h *Handler) refusedOutcome(c *call, gate *queue.Gate, decision queue.Decision) outcome {
	var out outcome
	switch decision {
	case queue.Canceled:
		return notRun(contextEndCode(c), "waited in the server's queue")
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

// classify returns the outcome of a failed attempt. The verdict depends on
// whether any of the request was sent.
func classify(c *call, failure *upstream.Failure) outcome {
	if !failure.Sent {
		return notRun(failureCode(c, failure), failure.Error())
	}
	return mayHaveRun(failureCode(c, failure), failure.Error())
}

func failureCode(c *call, failure *upstream.Failure) verdict.Code {
	if failure.Timeout {
		return contextEndCode(c)
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

// contextEndCode returns the reason why the request's context ended: the
// caller closed the connection, or the deadline passed.
func contextEndCode(c *call) verdict.Code {
	if errors.Is(c.request.Context().Err(), context.Canceled) {
		return verdict.CodeCallerGone
	}
	return verdict.CodeTimeout
}

// paceRequest delays a request to the rate of the link between regions. A
// streamed body is delayed as it is read.
func (h *Handler) paceRequest(ctx context.Context, c *call, crossRegion bool) error {
	if !crossRegion {
		return nil
	}
	out := c.service.state.out
	if c.body.stream != nil {
		c.body.stream.pace = func(count int) error { return out.Wait(ctx, c.class.Priority, count) }
		return nil
	}
	return out.Wait(ctx, c.class.Priority, len(c.body.buffered))
}
