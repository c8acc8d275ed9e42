package front

import (
	"context"
	"time"

	"guavacrank.example/traffic/verdict"
)

// Delays between attempts while the route does not change.
const (
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// run sends the request until it is answered or may not be retried. The
// verdict is not_run only if it was not_run for every attempt.
func (h *Handler) run(ctx context.Context, c *call) outcome {
	maybeRan := false
	result := h.runAttempts(ctx, c, &maybeRan)
	if maybeRan && result.verdict == verdict.NotRun {
		result.verdict = verdict.MayHaveRun
		result.detail = "an earlier attempt may have run; the last one: " + result.detail
	}
	return result
}

// runAttempts makes the attempts, and sets maybeRan if one of them may have
// run.
func (h *Handler) runAttempts(ctx context.Context, c *call, maybeRan *bool) outcome {
	backoff := initialBackoff
	for {
		to, out := h.resolve(ctx, c)
		if out != nil {
			return *out
		}
		c.attempt++
		c.crossRegion = to.crossRegion && to.peer == nil // Otherwise the home paces the response.
		result := h.attempt(ctx, c, to)
		if result.code == verdict.CodeBusy {
			c.attempt-- // No request was sent to a server.
			c.busyGroups = append(c.busyGroups, to.group)
			continue
		}
		*maybeRan = *maybeRan || result.verdict == verdict.MayHaveRun
		if result.verdict == verdict.Answered {
			c.service.state.budget.RecordSuccess(c.settings().RetryBudget)
			return result
		}
		if !h.mayRetry(ctx, c, result) {
			return result
		}
		if !h.awaitRetry(ctx, c, to, result, &backoff) {
			return result
		}
	}
}

// attempt makes one attempt.
func (h *Handler) attempt(ctx context.Context, c *call, to target) outcome {
	if to.peer != nil {
		return h.forward(ctx, c, to)
	}
	return h.send(ctx, c, to)
}

// mayRetry reports whether the request may be retried after a failed attempt.
func (h *Handler) mayRetry(ctx context.Context, c *call, result outcome) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if result.verdict == verdict.MayHaveRun {
		return c.class.Idempotent && c.attempt < c.settings().MaxAttempts
	}
	switch result.code {
	case verdict.CodeQueueFull, verdict.CodeTooLate:
		return !c.service.DividedByKey && c.attempt < c.settings().MaxAttempts
	case verdict.CodeShed:
		return c.attempt < c.settings().MaxAttempts
	default:
		return isRoutingRefusal(result.code) || c.attempt < c.settings().MaxAttempts || c.service.DividedByKey
	}
}

// isRoutingRefusal reports whether the refusal is caused by an outdated route
// and not by the server's state. An attempt on a newer snapshot then does not
// count against the retry budget.
func isRoutingRefusal(code verdict.Code) bool {
	switch code {
	case verdict.CodeFence, verdict.CodeMoved, verdict.CodeNotHome:
		return true
	default:
		return false
	}
}

// awaitRetry waits until the route changes or the retry budget allows another
// attempt. It returns false if the request may not be retried or the context
// ends first.
//
// An attempt on a changed route is free: the number of such attempts is
// limited by the number of ownership changes. An attempt on the same route is
// charged to the retry budget.
func (h *Handler) awaitRetry(ctx context.Context, c *call, to target, result outcome, backoff *time.Duration) bool {
	if !c.service.DividedByKey {
		return c.service.state.budget.Spend()
	}
	if isRoutingRefusal(result.code) {
		h.options.OnStaleRoute(c.service.Name)
	}
	timer := time.NewTimer(*backoff)
	defer timer.Stop()
	*backoff = min(*backoff*2, maxBackoff)
	for {
		_, replaced := h.options.Routes.LoadAndWatch()
		if h.routeChanged(c, to) {
			return true
		}
		select {
		case <-replaced:
		case <-timer.C:
			if c.service.state.budget.Spend() {
				return true
			}
			if result.verdict == verdict.MayHaveRun || result.code == verdict.CodeShed {
				return false
			}
			timer.Reset(maxBackoff)
		case <-ctx.Done():
			return false
		}
	}
}

// routeChanged reports whether the newest snapshot routes the request to
// another target.
func (h *Handler) routeChanged(c *call, to target) bool {
	fresh, code := h.choose(h.current(), c)
	return code == "" && fresh != to
}

// resolve returns the target of the next attempt. It waits while no server may
// serve the key.
func (h *Handler) resolve(ctx context.Context, c *call) (target, *outcome) {
	for {
		_, replaced := h.options.Routes.LoadAndWatch()
		to, code := h.choose(h.current(), c)
		if code == "" {
			return to, nil
		}
		if code == verdict.CodeUnknownService {
			out := notRun(code, "the service was removed")
			return target{}, &out
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			out := notRun(code, "waited until the deadline")
			return target{}, &out
		}
	}
}
