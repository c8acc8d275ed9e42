package run

import "time"

const (
	// leadInterval is the minimum time between two runs of the leader's work. It
	// keeps the leader's load independent of the number of inputs.
	leadInterval = 20 * time.Millisecond
	// inputsPerLead is how many times as long as a run of the leader's work took the loop
	// processes queued inputs before the next one.
	inputsPerLead = 2
)

// leadSchedule decides when the leader's work runs. However long a run takes, inputs get most
// of the loop's time: otherwise the results of calls would queue up behind runs that start
// further calls. The zero value is ready to use.
type leadSchedule struct {
	// next is the earliest time of the next run, afterInputs that while inputs are queued.
	next, afterInputs time.Duration
}

// due reports whether the work is to run now. queued is the number of inputs that wait.
func (s *leadSchedule) due(now time.Duration, queued int) bool { return s.wait(now, queued) <= 0 }

// wait returns the time until the work is due.
func (s *leadSchedule) wait(now time.Duration, queued int) time.Duration {
	if queued > 0 {
		return max(s.next, s.afterInputs) - now
	}
	return s.next - now
}

// ran records a run of the work.
func (s *leadSchedule) ran(began, ended time.Duration) {
	s.next = began + leadInterval
	s.afterInputs = ended + inputsPerLead*(ended-began)
}
