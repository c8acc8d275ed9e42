package planner

import "time"

// budget is a token bucket of moves by choice. One minute's moves may be made
// at once.
type budget struct {
	perMinute float64
	tokens    float64
	filled    time.Duration
}

func newBudget(perMinute int, now time.Duration) budget {
	return budget{perMinute: float64(perMinute), tokens: float64(perMinute), filled: now}
}

func (b *budget) setRate(perMinute int) {
	b.perMinute = float64(perMinute)
	b.tokens = min(b.tokens, b.perMinute)
}

// available fills the bucket up to now and returns the whole tokens in it.
func (b *budget) available(now time.Duration) int {
	b.tokens += b.perMinute * (now - b.filled).Minutes()
	b.tokens = min(b.tokens, b.perMinute)
	b.filled = now
	return int(b.tokens)
}

func (b *budget) take() { b.tokens-- }
