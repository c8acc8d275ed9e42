package run

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
)

const (
	// lateAfter is the time between two ticks from which the loop counts as late.
	lateAfter = 500 * time.Millisecond
	// namedActivities is the number of activities that the log names.
	namedActivities = 6
)

// pace measures how the control loop spends its time. Its methods may only be used by the
// loop's goroutine.
type pace struct {
	clock func() time.Duration
	// mark is when the newest activity ended, tickedAt when the last tick was processed.
	mark, tickedAt time.Duration
	// spent is the time for each activity since then, turns the number of activities.
	spent map[string]time.Duration
	turns int
}

func newPace(clock func() time.Duration) *pace {
	now := clock()
	return &pace{clock: clock, mark: now, tickedAt: now, spent: make(map[string]time.Duration)}
}

// end assigns the time since the end of the previous activity to this one.
func (p *pace) end(activity string) {
	now := p.clock()
	p.spent[activity] += now - p.mark
	p.mark = now
	p.turns++
}

// lateness is what the loop did between two ticks that were far apart.
type lateness struct {
	sinceTick time.Duration
	turns     int
	// activities are those that took the most time, longest first.
	activities []string
}

// tick begins another interval between ticks. It reports whether the last one was too long.
func (p *pace) tick() (lateness, bool) {
	now := p.clock()
	l := lateness{sinceTick: now - p.tickedAt, turns: p.turns}
	late := l.sinceTick >= lateAfter
	if late {
		l.activities = p.longest()
	}
	p.tickedAt, p.turns = now, 0
	clear(p.spent)
	return l, late
}

// longest describes the activities that took the most time.
func (p *pace) longest() []string {
	names := slices.SortedFunc(maps.Keys(p.spent), func(x, y string) int {
		return cmp.Or(cmp.Compare(p.spent[y], p.spent[x]), cmp.Compare(x, y))
	})
	var descriptions []string
	for _, name := range names[:min(len(names), namedActivities)] {
		descriptions = append(descriptions, fmt.Sprintf("%s %.3fs", name, p.spent[name].Seconds()))
	}
	return descriptions
}

// activityOf names the processing of an input.
func activityOf(in input) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", in), "run.")
}

// notePace logs that the loop was late, if it was.
func (l *loop) notePace(p *pace) {
	lateness, late := p.tick()
	if !late {
		return
	}
	l.log.Event(event.ControlLoopLate, "", zap.Duration("since_tick", lateness.sinceTick), zap.Int("turns", lateness.turns),
		zap.Strings("activities", lateness.activities), zap.Int("queued", len(l.inputs)), zap.Bool("leading", l.leading))
}
