// Package load counts the requests of ownership units and finds frequent keys,
// with memory that does not grow with the number of keys.
//
// Take returns the counts since the last Take, for the control plane; InFlight
// returns the units with requests that may still run.
package load

import (
	"sync"
	"sync/atomic"
)

// chunkUnits is the number of units whose counters are allocated together.
const chunkUnits = 256

// unitCounter is one unit's counters.
type unitCounter struct {
	requests atomic.Uint32
	inFlight atomic.Int32
}

type chunk [chunkUnits]unitCounter

// UnitCounters counts requests by ownership unit. The zero value is ready for use.
type UnitCounters struct {
	chunks atomic.Pointer[[]*chunk]
	grow   sync.Mutex
}

// counter returns the counter of a unit, allocating its chunk when it is the first.
func (u *UnitCounters) counter(unit uint32) *unitCounter {
	index := int(unit / chunkUnits)
	chunks := u.chunks.Load()
	if chunks == nil || index >= len(*chunks) || (*chunks)[index] == nil {
		chunks = u.extend(index)
	}
	return &(*chunks)[index][unit%chunkUnits]
}

func (u *UnitCounters) extend(index int) *[]*chunk {
	u.grow.Lock()
	defer u.grow.Unlock()
	var old []*chunk
	if held := u.chunks.Load(); held != nil {
		old = *held
	}
	next := make([]*chunk, max(index+1, len(old)))
	copy(next, old)
	if next[index] == nil {
		next[index] = new(chunk)
	}
	u.chunks.Store(&next)
	return &next
}

// Count adds one request of a unit.
func (u *UnitCounters) Count(unit uint32) { u.counter(unit).requests.Add(1) }

// BeginRequest records that a request of the unit is about to be sent. It must come
// before the check that the unit may still be sent: control revokes the permission
// first and reads InFlight afterwards, so one of the two sees the other.
func (u *UnitCounters) BeginRequest(unit uint32) { u.counter(unit).inFlight.Add(1) }

// EndRequest reverts one BeginRequest.
func (u *UnitCounters) EndRequest(unit uint32) { u.counter(unit).inFlight.Add(-1) }

// UnitCount is the number of requests of one unit.
type UnitCount struct {
	Unit     uint32
	Requests uint32
}

// Take returns the units with requests since the last Take, by unit.
func (u *UnitCounters) Take() []UnitCount {
	var counts []UnitCount
	u.each(func(unit uint32, counter *unitCounter) {
		if requests := counter.requests.Swap(0); requests > 0 {
			counts = append(counts, UnitCount{Unit: unit, Requests: requests})
		}
	})
	return counts
}

// InFlight returns the units with requests sent and not yet known to be over.
func (u *UnitCounters) InFlight() []uint32 {
	var units []uint32
	u.each(func(unit uint32, counter *unitCounter) {
		if counter.inFlight.Load() > 0 {
			units = append(units, unit)
		}
	})
	return units
}

func (u *UnitCounters) each(visit func(uint32, *unitCounter)) {
	chunks := u.chunks.Load()
	if chunks == nil {
		return
	}
	for index, held := range *chunks {
		if held == nil {
			continue
		}
		for offset := range held {
			visit(uint32(index*chunkUnits+offset), &held[offset])
		}
	}
}
