package explore

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"guavacrank.example/gateway/keys"
)

const (
	// stateBytes is the memory that remembers one state: its fingerprint and the faults
	// left, in a map at its mean load.
	stateBytes = 40
	// progressInterval is the number of steps between two reports of progress.
	progressInterval = 1 << 16
	// fairInterval is the number of states of which one is checked for Owned.
	fairInterval = 512
)

// Verdict says how a search ended.
type Verdict string

// Verdicts.
const (
	// Explored: all schedules within the bounds on faults and depth were searched.
	Explored Verdict = "explored"
	// Sampled: a share of them was searched.
	Sampled Verdict = "sampled"
	// Bounded: no rule was broken before a bound on states, memory or time was reached.
	Bounded Verdict = "bounded"
	// Broken: a rule was broken.
	Broken Verdict = "broken"
)

// Result is the result of a search.
type Result struct {
	Bounds    Bounds     `json:"bounds"`
	Verdict   Verdict    `json:"verdict"`
	Faults    int        `json:"faults_reached"` // The faults of the schedules that were searched last.
	States    int        `json:"states"`         // Distinct states.
	Steps     int        `json:"steps"`          // Events applied.
	Revisits  int        `json:"revisits"`       // Steps that led to a state visited before.
	Ignored   int        `json:"ignored"`        // States that broke a rule that was not asked for.
	Fair      int        `json:"fair_checks"`    // States from which the end of faults was played.
	MaxSteps  int        `json:"longest_steps"`  // The greatest number of events in a schedule.
	Seconds   float64    `json:"seconds"`
	StepsRate float64    `json:"steps_per_second"`
	Violation *Violation `json:"violation,omitempty"`
	Schedule  *Schedule  `json:"schedule,omitempty"`
}

// Progress is told now and then how far a search has come.
type Progress func(result Result)

// search is a depth-first search. Schedules with fewer faults come first.
type search struct {
	ctx      context.Context
	bounds   Bounds
	progress Progress
	result   Result
	random   *rand.Rand
	encoder  keys.StateEncoder
	// visited holds for each state the most faults that were left when it was visited.
	visited map[keys.Fingerprint]int8
	path    []Event
	events  []Event // Those of the present state.
	started time.Time
	stopped bool
	// reportAt is the number of steps at which progress is reported next.
	reportAt int
}

// Explore searches within bounds. It returns an error for bounds that can't be used.
func Explore(ctx context.Context, bounds Bounds, progress Progress) (Result, error) {
	if err := bounds.Check(); err != nil {
		return Result{}, err
	}
	s := &search{ctx: ctx, bounds: bounds, progress: progress, started: time.Now()}
	s.result.Bounds, s.result.Verdict = bounds, Explored
	root := newWorld(bounds.Size)
	for faults := range bounds.Faults + 1 {
		s.result.Faults = faults
		s.begin(root, faults)
		if s.stopped || s.result.Violation != nil {
			break
		}
	}
	s.finish()
	return s.result, nil
}

// begin searches all schedules with a number of faults.
func (s *search) begin(root *world, faults int) {
	s.visited = make(map[keys.Fingerprint]int8)
	s.random = rand.New(rand.NewPCG(s.bounds.Seed, uint64(faults)))
	s.path = s.path[:0]
	s.visit(root.clone(), faults)
}

func (s *search) finish() {
	s.result.Seconds = time.Since(s.started).Seconds()
	s.result.StepsRate = float64(s.result.Steps) / s.result.Seconds
	switch {
	case s.result.Violation != nil:
		s.result.Verdict = Broken
	case s.stopped:
		s.result.Verdict = Bounded
	case s.bounds.Share > 1 && s.bounds.Faults > 2:
		s.result.Verdict = Sampled
	}
}

// visit searches from a state, which it may change.
func (s *search) visit(w *world, faults int) {
	depth := len(s.path)
	for events := s.choices(w, faults); len(events) > 0; events = s.choices(w, faults) {
		if len(events) > 1 {
			s.branch(w, faults, events)
			break
		}
		if !s.step(w, events[0]) {
			break
		}
	}
	if s.result.Violation == nil {
		s.path = s.path[:depth]
	}
}

// choices returns the events to follow from a state: none if the search ends there.
func (s *search) choices(w *world, faults int) []Event {
	s.events = s.events[:0]
	if faults == 0 && w.firstPrompt() >= 0 {
		return append(s.events, Event{}) // Nothing else is possible.
	}
	if s.visitedBefore(w, faults) || s.over() || s.unfair(w) || w.now-warmUp >= s.bounds.Depth {
		return nil
	}
	s.events = w.events(faults > 0, s.events)
	return s.events
}

// branch follows the events that are possible in a state, the usual one last: schedules whose
// faults come early are short.
func (s *search) branch(w *world, faults int, possible []Event) {
	events := slices.Clone(possible)
	slices.Reverse(events)
	s.random.Shuffle(len(events)-1, func(i, j int) { events[i], events[j] = events[j], events[i] })
	depth := len(s.path)
	for _, e := range events {
		left := faults
		if !e.action.free() {
			left--
			if s.leftOut(faults) {
				continue
			}
		}
		next := w.clone()
		if s.step(next, e) {
			s.visit(next, left)
		}
		if s.stopped || s.result.Violation != nil {
			return
		}
		s.path = s.path[:depth]
	}
}

// leftOut draws whether a fault is left out of a search that takes a share. The first and
// the last fault of a schedule are not.
func (s *search) leftOut(left int) bool {
	return left > 1 && left < s.result.Faults && s.random.IntN(s.bounds.Share) != 0
}

// step applies an event. It returns false if the search doesn't go on from there.
func (s *search) step(w *world, e Event) bool {
	w.mustApply(e)
	s.result.Steps++
	s.path = append(s.path, e)
	s.result.MaxSteps = max(s.result.MaxSteps, len(s.path))
	return !s.broken(w) && w.broken == nil
}

// visitedBefore reports whether a state was visited with as many faults left, and notes that
// it is.
func (s *search) visitedBefore(w *world, faults int) bool {
	fingerprint := w.fingerprint(&s.encoder)
	if before, known := s.visited[fingerprint]; known && int(before) >= faults {
		s.result.Revisits++
		return true
	} else if !known {
		s.result.States++
	}
	s.visited[fingerprint] = int8(faults)
	return false
}

// over reports whether a bound was reached.
func (s *search) over() bool {
	if s.result.Steps >= s.reportAt {
		s.reportAt = s.result.Steps + progressInterval
		s.report()
	}
	s.stopped = s.stopped || s.result.States >= s.bounds.States || len(s.visited)*stateBytes >= s.bounds.MemoryBytes
	return s.stopped
}

// report reports the progress and looks at the clock.
func (s *search) report() {
	elapsed := time.Since(s.started)
	s.stopped = s.ctx.Err() != nil || s.bounds.Time > 0 && elapsed >= s.bounds.Time
	if s.progress != nil {
		s.result.Seconds = elapsed.Seconds()
		s.progress(s.result)
	}
}

// broken reports whether a rule of the bounds is broken in a state, and keeps the schedule.
func (s *search) broken(w *world) bool {
	if w.broken == nil {
		return false
	}
	if !slices.Contains(s.bounds.Rules, w.broken.Rule) {
		s.result.Ignored++
		return false
	}
	s.keep(w.broken)
	return true
}

// keep keeps the present schedule as that of a violation.
func (s *search) keep(v *Violation) {
	s.result.Violation = v
	s.result.Schedule = newSchedule(s.bounds.Size, v, s.path)
	s.result.Schedule.shrink()
}

// unfair checks from some states that all keys are owned once faults have ended.
func (s *search) unfair(w *world) bool {
	if s.result.States%fairInterval != 0 || !slices.Contains(s.bounds.Rules, Owned) {
		return false
	}
	s.result.Fair++
	v := w.clone().checkOwned()
	if v == nil || !slices.Contains(s.bounds.Rules, v.Rule) {
		return false
	}
	s.keep(v)
	return true
}
