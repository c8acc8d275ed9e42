package planner

import (
	"slices"
	"time"
)

// budgetPeriod is the time over which moves by choice are counted.
const budgetPeriod = time.Minute

// budget bounds the moves by choice in any minute.
type budget struct {
	perMinute int
	taken     []time.Duration // Times of the moves of the last minute, oldest first.
}

// available returns how many moves by choice may be made now.
func (b *budget) available(now time.Duration) int {
	b.taken = slices.DeleteFunc(b.taken, func(at time.Duration) bool { return now-at >= budgetPeriod })
	return max(0, b.perMinute-len(b.taken))
}

// take notes one move by choice.
func (b *budget) take(now time.Duration) { b.taken = append(b.taken, now) }
