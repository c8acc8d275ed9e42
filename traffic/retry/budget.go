// Package retry limits the number of retries that are sent to a service.
//
// Each success adds a share of a retry; Spend reports whether one more retry may
// be made. The retries spent never exceed the initial budget plus the shares
// added.
package retry

import "sync/atomic"

// Budget is a token bucket that successes fill: retries stay a share of the
// successful responses, so that retries do not overload a service
// that is down. It is safe for concurrent use.
type Budget struct {
	tokens atomic.Int64 // In hundredths of a retry.
}

// Sizes of the bucket, in hundredths of a retry.
const (
	retryCost   = 100
	bucketFull  = 100 * retryCost
	bucketStart = 10 * retryCost
)

// NewBudget returns a budget that starts with ten retries.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(bucketStart)
	return b
}

// RecordSuccess adds the given share of one retry, in percent.
func (b *Budget) RecordSuccess(percent int) {
	if b.tokens.Add(int64(percent)) > bucketFull {
		b.tokens.Store(bucketFull)
	}
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-retryCost) {
			return true
		}
	}
}
