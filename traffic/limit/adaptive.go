package limit

// Adaptive is a limit that shrinks by one when the server sheds and grows by
// one after growRounds times as many successes as it allows at once, up to Max
// (additive increase, additive decrease: a slot count is small). It is not safe for
// concurrent use.
type Adaptive struct {
	Max       int
	current   int
	successes int
}

// growRounds is how many rounds of successes, of as many as the limit each, raise it by one.
const growRounds = 4

// NewAdaptive returns a limit that starts at max.
func NewAdaptive(max int) *Adaptive { return &Adaptive{Max: max, current: max} }

// Current returns the limit, at least one unless Max is zero.
func (a *Adaptive) Current() int { return min(a.current, a.Max) }

// SetMax changes the maximum. A limit that was at its maximum follows it.
func (a *Adaptive) SetMax(max int) {
	if a.current == a.Max || a.current > max {
		a.current = max
	}
	a.Max = max
}

// RecordShed records that the server refused a request because all slots were busy.
func (a *Adaptive) RecordShed() {
	a.current = max(min(1, a.Max), a.Current()-1)
	a.successes = 0
}

// RecordSuccess records a response.
func (a *Adaptive) RecordSuccess() {
	if a.current >= a.Max {
		return
	}
	a.successes++
	if a.successes >= growRounds*a.current {
		a.current++
		a.successes = 0
	}
}
