package planner

import (
	"slices"
	"time"
)

// budgetPeriod is the sliding window over which rebalancing moves are counted.
const budgetPeriod = time.Minute

// budget limits the number of rebalancing moves in any period of a minute.
type budget struct {
	perMinute int
	spent     []time.Duration // Times of the moves of the last minute, oldest first.
}

// available returns the number of rebalancing moves that may be made now.
func (b *budget) available(now time.Duration) int {
	b.spent = slices.DeleteFunc(b.spent, func(at time.Duration) bool { return now-at >= budgetPeriod })
	return max(0, b.perMinute-len(b.spent))
}

// spend records one rebalancing move.
func (b *budget) spend(now time.Duration) { b.spent = append(b.spent, now) }
