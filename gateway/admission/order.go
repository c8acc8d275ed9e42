package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorShare is the share of the mean fraction that requests of every class get.
	floorShare = 0.25
	// mixTime is the time over which the mix of the classes is averaged.
	mixTime = 2 * time.Second
	// maxClasses limits the classes that are remembered. Beyond it all are learned anew.
	maxClasses = 64
)

// Standing says what a caller loses by a refusal.
type Standing uint8

// Standings, the one to serve first before others.
const (
	// Returned: the caller was refused before and has come back soon enough to be served
	// within the latency objective. Refused again it is lost.
	Returned Standing = iota
	// First: the caller has not been refused before. Refused now it is late.
	First
	// Late: the caller was refused before and can't be served within the objective any more.
	Late
)

// Class is a class of requests that compete for the room of one service.
type Class struct {
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Standing is that of the caller.
	Standing Standing
}

// compare orders classes, the one to serve first before others.
func compare(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Standing, b.Standing))
}

// Mix is the recent mix of the classes among the requests for one service on this VM. It is
// not safe for concurrent use. It answers the load of callers who compete for too little room:
// a VM that may send a fraction of its requests sends those that come first.
type Mix struct {
	counts    map[Class]float64 // Exponentially decayed.
	updatedAt time.Duration
}

// Add counts a request.
func (m *Mix) Add(now time.Duration, class Class) {
	if m.counts == nil || len(m.counts) >= maxClasses && m.counts[class] == 0 {
		m.counts = make(map[Class]float64)
	}
	kept := math.Exp(-max(now-m.updatedAt, 0).Seconds() / mixTime.Seconds())
	m.updatedAt = now
	for known := range m.counts {
		m.counts[known] *= kept
	}
	m.counts[class]++
}

// Fraction returns the share of the requests of a class that should be sent if a share of
// all requests should. Each class gets floorShare of it at least, the rest goes to the
// classes in their order.
func (m *Mix) Fraction(class Class, all float64) float64 {
	if all >= 1 {
		return 1
	}
	total := 0.0
	for _, count := range m.counts {
		total += count
	}
	floor := floorShare * all
	left := (all - floor) * total
	for _, known := range m.inOrder() {
		count := m.counts[known]
		extra := min(1-floor, left/max(count, math.SmallestNonzeroFloat64))
		if known == class {
			return floor + extra
		}
		left -= extra * count
	}
	return all
}

// inOrder returns the classes in their order.
func (m *Mix) inOrder() []Class {
	classes := make([]Class, 0, len(m.counts))
	for class := range m.counts {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, compare)
	return classes
}
