package keys

import (
	"maps"
	"math"
	"time"
)

// A leader can't know when earlier leaders sent their last grants to a prior holder, only by
// when all of them have stopped. With each change of leader that time begins anew, also for
// holders that have been prior ones for long. So each page tells how long grants to the prior
// holders that the page before it names may still arrive, and each VM notes the time by its own
// clock: no later leader grants anything to these holders.

// never is the arrival of grants of which nothing is known.
const never = time.Duration(math.MaxInt64)

// PriorGrantBounds is what one VM knows of the arrival of grants to the prior holders that the
// newest page names, by its own clock.
type PriorGrantBounds struct {
	seen     Stamp         // Of the newest page.
	seenAt   time.Duration // When it was seen.
	arrivals map[holderKey]time.Duration
}

// See returns the bounds after the VM has seen a later page. The page was written before.
func (b PriorGrantBounds) See(now time.Duration, page *Page) PriorGrantBounds {
	if !b.seen.Before(page.Stamp) {
		return b
	}
	told := never
	if within := page.PriorGrantsArriveWithin; within > 0 {
		told = now + time.Duration(within)*time.Millisecond
	}
	next := PriorGrantBounds{page.Stamp, now, make(map[holderKey]time.Duration)}
	for _, r := range page.Ranges {
		for _, prior := range r.Prior {
			key := keyOf(r, prior)
			next.arrivals[key] = never
			if earlier, seen := b.arrivals[key]; seen && b.seen.Era == page.Era {
				next.arrivals[key] = min(earlier, told)
			}
		}
	}
	return next
}

// keyOf returns the key of a prior holder of a range.
func keyOf(r Range, prior Holder) holderKey {
	return holderKey{r.From, r.To, prior.Incarnation, prior.Fence}
}

func (b PriorGrantBounds) clone() PriorGrantBounds {
	b.arrivals = maps.Clone(b.arrivals)
	return b
}

// arrival returns the latest time at which a grant to a prior holder may have arrived, if it is
// known.
func (b PriorGrantBounds) arrival(key holderKey) time.Duration {
	if at, known := b.arrivals[key]; known && key.incarnation != unknownHolder.Incarnation {
		return at
	}
	return never
}

// KnowPriorGrants takes what the VM knows of the grants to prior holders.
func (m *Machine) KnowPriorGrants(bounds PriorGrantBounds) { m.priorGrants = bounds }

// priorArrival returns the latest time at which any grant may have arrived at a prior holder,
// given that for grants of this leadership.
func (m *Machine) priorArrival(key holderKey, row *serverRow, own time.Duration) time.Duration {
	return max(m.adjustArrival(row, own), m.earlierArrival(key, row))
}

// earlierArrival returns the same for grants of earlier leaders.
func (m *Machine) earlierArrival(key holderKey, row *serverRow) time.Duration {
	return min(m.predecessorArrival(row), m.priorGrants.arrival(key))
}

// describePriorGrants tells later leaders by when grants to the prior holders of the present
// page arrive. It tells nothing while an earlier leader may still send some.
func (b *pageBuilder) describePriorGrants() {
	b.page.PriorGrantsArriveWithin = 0
	if b.Machine.page == nil || len(b.predecessors.active) > 0 {
		return
	}
	within := max(0, b.priorGrantsArrival()-b.now)
	b.page.PriorGrantsArriveWithin = within.Milliseconds() + 1
}

// priorGrantsArrival returns the latest time at which a grant to a prior holder of the present
// page may have arrived, if any zone turns out to be impaired.
func (m *Machine) priorGrantsArrival() time.Duration {
	latest := m.predecessorBound()
	for _, r := range m.page.Ranges {
		for _, prior := range r.Prior {
			bound := m.bounds[keyOf(r, prior)]
			latest = max(latest, bound.latestArrival)
			if len(bound.pending) > 0 {
				latest = max(latest, m.now+MaxCallDelay)
			}
		}
	}
	if latest == 0 {
		return 0
	}
	return latest + impairedTransitTime - transitTime
}

// describeEarlierGrants tells the next leader by when grants of the leaders arrive that are no
// predecessors any more.
func (b *pageBuilder) describeEarlierGrants() {
	b.page.EarlierGrantsArriveWithin = 0
	if left := max(b.predecessors.endedBy, b.predecessors.outvotedBy) - b.now; left > 0 {
		b.page.EarlierGrantsArriveWithin = left.Milliseconds() + 1
	}
}

// earlierGrantsArrival returns when the grants have arrived of the leaders that were before the
// writer of a page and that it does not name.
func (m *Machine) earlierGrantsArrival(page *Page) time.Duration {
	if page.EarlierGrantsArriveWithin == 0 {
		return 0
	}
	within := time.Duration(page.EarlierGrantsArriveWithin) * time.Millisecond
	if m.priorGrants.seen == page.Stamp {
		return m.priorGrants.seenAt + within
	}
	return m.now + within
}
