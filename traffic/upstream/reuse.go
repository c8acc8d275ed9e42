package upstream

import (
	"math"
	"slices"
	"time"
)

// This file decides for how long idle connections are kept, and which of them a request may
// use.

// CloseIdle closes connections that have reached their idle timeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idleTimeout(0) {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
		p.ended = OpenedAfterTimeout
	}
	p.mu.Unlock()
	closeAll(old)
}

// idleTimeout returns how long the idle connection at an index is kept.
func (p *Pool) idleTimeout(at int) time.Duration {
	c := p.idle[at]
	if c.keepAlive < math.MaxInt64 && at == len(p.idle)-1 {
		return min(p.options.KeptIdleTimeout, c.keepAlive)
	}
	return min(p.options.IdleTimeout, c.keepAlive)
}

// takeIdle returns an idle connection that is not in used, or nil after reserving a
// slot for a new one, with the cause for which that is needed.
func (p *Pool) takeIdle(nonIdempotent bool, used *Used) (*conn, OpenCause, *Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, 0, &Failure{Stage: StageLimit, Err: errClosed}
	}
	last := len(p.idle) - 1
	for last >= 0 && used.has(p.idle[last]) {
		last--
	}
	if last < 0 && p.open >= p.limit && len(p.idle) > 0 {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		return nil, OpenedForRetry, nil // The new connection takes over its slot.
	}
	if last >= 0 {
		c := p.idle[last]
		cause, usable := p.reusable(last, nonIdempotent)
		p.idle = slices.Delete(p.idle, last, last+1)
		if usable {
			return c, 0, nil
		}
		c.Close()
		return nil, cause, nil // The new connection takes over its slot.
	}
	if p.open >= p.limit {
		return nil, 0, &Failure{Stage: StageLimit, Err: errConnectionLimit}
	}
	p.open++
	return nil, p.takeCause(), nil
}

// takeCause returns why a new connection is needed that takes over no other's slot.
func (p *Pool) takeCause() OpenCause {
	cause := p.ended
	p.ended = OpenedForLoad
	if len(p.idle) > 0 {
		return OpenedForRetry
	}
	return cause
}

// reusable reports whether the idle connection at an index may be reused, and why not.
func (p *Pool) reusable(at int, nonIdempotent bool) (cause OpenCause, usable bool) {
	idle := time.Since(p.idle[at].idleSince)
	switch {
	case idle > p.idleTimeout(at):
		return OpenedAfterTimeout, false
	case nonIdempotent && idle > maxIdleNonIdempotent:
		return OpenedForSafety, false
	case !p.options.IdleLimit.Allows(time.Now(), idle):
		return OpenedForDistrust, false
	default:
		return 0, true
	}
}
