package front

import (
	"context"
	"time"

	"guavacrank.example/traffic/verdict"
)

// Waits between attempts at a route that did not change.
const (
	firstPause = 25 * time.Millisecond
	lastPause  = 200 * time.Millisecond
)

// run sends the request until it is answered, or may not be sent again. It is
// not_run only if every attempt was.
func (h *Handler) run(ctx context.Context, c *call) outcome {
	ran := false
	end := h.attempts(ctx, c, &ran)
	if ran && end.verdict == verdict.NotRun {
		end.verdict = verdict.MayHaveRun
		end.detail = "an earlier attempt may have run; the last one: " + end.detail
	}
	return end
}

// attempts makes attempts, and notes whether one of them may have run.
func (h *Handler) attempts(ctx context.Context, c *call, ran *bool) outcome {
	pause := firstPause
	for {
		to, out := h.resolve(ctx, c)
		if out != nil {
			return *out
		}
		c.attempt++
		c.crossing = to.crossing && to.peer == nil // Otherwise the home holds it back.
		end := h.try(ctx, c, to)
		if end.code == verdict.CodeBusy {
			c.attempt-- // Nothing was sent to a server.
			c.refusedBy = append(c.refusedBy, to.group)
			continue
		}
		*ran = *ran || end.verdict == verdict.MayHaveRun
		if end.verdict == verdict.Answered {
			c.service.state.budget.RecordSuccess(c.settings().RetryBudget)
			return end
		}
		if !h.mayRepeat(ctx, c, end) {
			return end
		}
		if !h.awaitRepeat(ctx, c, to, end, &pause) {
			return end
		}
	}
}

// try makes one attempt.
func (h *Handler) try(ctx context.Context, c *call, to target) outcome {
	if to.peer != nil {
		return h.forward(ctx, c, to)
	}
	return h.send(ctx, c, to)
}

// mayRepeat says whether a failed attempt leaves the request fit to be sent again.
func (h *Handler) mayRepeat(ctx context.Context, c *call, end outcome) bool {
	if ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if end.verdict == verdict.MayHaveRun {
		return c.class.Idempotent && c.attempt < c.settings().MaxAttempts
	}
	switch end.code {
	case verdict.CodeQueueFull, verdict.CodeTooLate:
		return !c.service.DividedByKey && c.attempt < c.settings().MaxAttempts
	default:
		return rerouted(end.code) || c.attempt < c.settings().MaxAttempts || c.service.DividedByKey
	}
}

// rerouted says that the refusal is about the route, not about the server's
// state: a newer snapshot makes another attempt cost nobody a retry.
func rerouted(code verdict.Code) bool {
	switch code {
	case verdict.CodeFence, verdict.CodeMoved, verdict.CodeNotHome:
		return true
	default:
		return false
	}
}

// awaitRepeat waits until another attempt makes sense and is paid for, or
// returns false when the context ends first.
//
// A changed route costs nothing: attempts are then bounded by the changes of
// ownership. The same route again costs a retry of the budget.
func (h *Handler) awaitRepeat(ctx context.Context, c *call, to target, end outcome, pause *time.Duration) bool {
	if !c.service.DividedByKey {
		return c.service.state.budget.Spend()
	}
	if rerouted(end.code) {
		h.options.OnStaleRoute(c.service.Name)
	}
	timer := time.NewTimer(*pause)
	defer timer.Stop()
	*pause = min(*pause*2, lastPause)
	for {
		_, replaced := h.options.Routes.LoadAndWatch()
		if h.differs(c, to) {
			return true
		}
		select {
		case <-replaced:
		case <-timer.C:
			if c.service.state.budget.Spend() {
				return true
			}
			if end.verdict == verdict.MayHaveRun {
				return false
			}
			timer.Reset(lastPause)
		case <-ctx.Done():
			return false
		}
	}
}

// differs says whether the newest snapshot routes the request elsewhere.
func (h *Handler) differs(c *call, to target) bool {
	fresh, code := h.choose(h.current(), c)
	return code == "" && fresh != to
}

// resolve finds where the next attempt goes, and waits while nobody may serve
// the key.
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
