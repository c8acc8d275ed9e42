package front

import (
	"context"
	"errors"
	"time"

	"guavacrank.example/backend"
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
	ticket  *queue.Ticket
	checks  bool // The server checks grants.
}

// send admits the request to the server's queue and sends it.
func (h *Handler) send(ctx context.Context, c *call, to target) outcome {
	ticket, decision := to.server.gate.Enter(ctx, c.class.Priority, c.deadline)
	if decision != queue.Admitted {
		return h.refused(c, to, decision)
	}
	a := &admission{handler: h, call: c, to: to, ticket: ticket}
	state := c.service.state
	state.units.Enter(to.unit)
	if !h.confirm(a) {
		a.end(false, false)
		return notRun(verdict.CodeMoved, "the key's unit moved while the request waited")
	}
	state.units.Count(to.unit)
	state.keys.Count(c.key)
	now := h.options.Elapsed()
	received, failure := to.server.pool.Do(ctx, c.serverRequest(a.to, now), !c.class.Idempotent)
	if failure != nil {
		a.end(false, failure.Sent)
		return classify(c, failure)
	}
	return h.take(c, received, a)
}

// confirm checks, after the request was noted in flight, that this VM may
// still send it, and takes over the newest epoch.
func (h *Handler) confirm(a *admission) bool {
	v := h.current()
	s := v.services[a.call.service.Name]
	if s == nil {
		return false
	}
	if !s.DividedByKey {
		a.checks = true
		return true
	}
	unit, ok := s.Lookup(a.call.key)
	if !ok || unit.ID != a.to.unit || unit.Server == nil || s.servers[unit.Server] != a.to.server {
		return false
	}
	a.to.epoch = unit.Epoch
	a.checks = unit.Server.ChecksGrants
	return a.checks || unit.Server.Home == v.snapshot.Self && h.options.Elapsed() < unit.Server.HomeUntil
}

// end gives back what the admission holds. sent says that the request may have
// reached the server without a whole answer: a server that does not check
// grants may then still run it until its deadline.
func (a *admission) end(answered, sent bool) {
	a.to.server.gate.Leave(a.ticket, answered)
	units := a.call.service.state.units
	if sent && !a.checks {
		left := a.call.remaining(a.handler.options.Elapsed()) + deadlineSlack
		time.AfterFunc(left, func() { units.Leave(a.to.unit) })
		return
	}
	units.Leave(a.to.unit)
}

// refused turns the queue's decision into an outcome.
func (h *Handler) refused(c *call, to target, decision queue.Decision) outcome {
	switch decision {
	case queue.Canceled:
		return notRun(endCode(c), "waited in the server's queue")
	case queue.Late:
		out := notRun(verdict.CodeTooLate, "could not have finished within the deadline")
		out.retryAfter = to.server.gate.State().Backlog
		return out
	default:
		out := notRun(verdict.CodeQueueFull, "the server's queue is full")
		out.retryAfter = to.server.gate.State().Backlog
		return out
	}
}

// take reads an answer's head: a documented refusal proves that the request
// was not run, anything else is the server's answer.
func (h *Handler) take(c *call, received *upstream.Answer, a *admission) outcome {
	if refusal := received.Header.Get(backend.HeaderRefused); refusal != "" {
		if code, ok := refusalCodes[backend.Refusal(refusal)]; ok {
			received.Body.Close()
			a.to.server.adapt(code == verdict.CodeShed)
			a.end(false, false)
			return notRun(code, "the server refused: "+refusal)
		}
	}
	held, failure := hold(received)
	if failure != nil {
		a.end(false, true)
		return classify(c, failure)
	}
	a.to.server.adapt(false)
	if held.rest == nil {
		a.end(true, false)
	} else {
		held.end = func(whole bool) { a.end(whole, !whole) }
	}
	return outcome{verdict: verdict.Answered, code: verdict.CodeAnswered, answer: held}
}

// refusalCodes gives the code of each documented refusal.
var refusalCodes = map[backend.Refusal]verdict.Code{
	backend.RefusedFence:       verdict.CodeFence,
	backend.RefusedShed:        verdict.CodeShed,
	backend.RefusedDraining:    verdict.CodeDraining,
	backend.RefusedDeadline:    verdict.CodeTooLate,
	backend.RefusedConnections: verdict.CodeConnections,
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
