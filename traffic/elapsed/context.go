package elapsed

import (
	"context"
	"time"
)

// deadlineContext is a context whose Err also reports a deadline that passed while the
// VM was suspended or the process was stopped, before any timer could fire.
type deadlineContext struct {
	context.Context
	clock    func() time.Duration
	deadline time.Duration
}

// WithDeadline returns a context that ends at a time by a clock such as Now. Its Err
// reads the clock; Done may be closed later than that.
func WithDeadline(parent context.Context, clock func() time.Duration, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, deadline-clock())
	return &deadlineContext{ctx, clock, deadline}, cancel
}

// Err returns why the context has ended, or nil.
func (c *deadlineContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.clock() >= c.deadline {
		return context.DeadlineExceeded
	}
	return nil
}
