package explore

import "slices"

// shrink leaves out the events without which the schedule breaks its rule too.
func (s *Schedule) shrink() {
	for at := 0; at < len(s.Steps); {
		shorter := *s
		shorter.Steps = slices.Delete(slices.Clone(s.Steps), at, at+1)
		if last := shorter.breaksAt(); last > 0 && last <= s.Last {
			shorter.Last = last
			*s = shorter
			continue
		}
		at++
	}
}

// breaksAt returns the number of events after which the schedule breaks its rule, or zero if
// it doesn't. The end of faults after the schedule is not played.
func (s *Schedule) breaksAt() int {
	w := newWorld(s.Size)
	next := 0
	for number := range s.Last {
		e := Event{}
		if next < len(s.Steps) && s.Steps[next].Number == number {
			e = s.Steps[next].Event
			next++
		}
		if w.apply(e) != nil {
			return 0
		}
		if w.broken != nil {
			if w.broken.Rule != s.Rule {
				return 0
			}
			return number + 1
		}
	}
	return 0
}
