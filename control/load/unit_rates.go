// Package load estimates the request rates of units and frequent keys from the
// requests counted by the VMs themselves. The load reports of backend servers
// are not used because they lag and can be misleading.
//
// Requests are counted in windows of fixed length. For each unit a long average
// keeps the error small, and a short average detects changes: if the two differ
// by more than chance explains, the long average is reset to the short one. The
// package does no I/O and reads no clock: its user passes in the time.
package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavacrank.example/control/ownership"
)

const (
	// Window is the length of a counting window.
	Window = 5 * time.Second
	// shortWeight is the weight of the newest window in the short average.
	shortWeight = 0.5
	// longWindows is the number of windows that the long average covers.
	longWindows = 60
	// changeThreshold is the number of standard errors by which the two averages
	// must differ for the load to count as changed.
	changeThreshold = 4.5
)

// UnitRates estimates the request rate of each unit of one service.
type UnitRates struct {
	windowEnd time.Duration
	units     []unitRate // By ascending ID.
	windows   int        // Number of closed windows, without the discarded first one.
	primed    bool       // The first window has been closed and discarded.
}

// unitRate is the estimate for one unit.
type unitRate struct {
	id    ownership.UnitID
	count uint64  // Requests in the open window.
	short float64 // Short average of requests per second.
	long  float64 // Long average, reset to the short one when the load changes.
}

// NewUnitRates returns estimates without data, whose first window starts at
// now.
func NewUnitRates(now time.Duration) *UnitRates {
	return &UnitRates{windowEnd: now + Window}
}

// Add adds a number of requests for a unit to the open window.
func (r *UnitRates) Add(unit ownership.UnitID, requests uint32) {
	at, known := r.find(unit)
	if !known {
		r.units = slices.Insert(r.units, at, unitRate{id: unit})
	}
	r.units[at].count += uint64(requests)
}

// find returns the place of a unit, and whether it is there.
func (r *UnitRates) find(unit ownership.UnitID) (at int, known bool) {
	return slices.BinarySearchFunc(r.units, unit, func(u unitRate, id ownership.UnitID) int { return cmp.Compare(u.id, id) })
}

// Retain forgets all units but those for which keep is true.
func (r *UnitRates) Retain(keep func(ownership.UnitID) bool) {
	r.units = slices.DeleteFunc(r.units, func(u unitRate) bool { return !keep(u.id) })
}

// Advance closes the window if it has ended, and reports whether its counts
// were used. Those of the first window are discarded: it started before every
// VM reported, and the missing reports would look like idle servers. If several
// windows have passed, they are closed as one long window.
func (r *UnitRates) Advance(now time.Duration) bool {
	if now < r.windowEnd {
		return false
	}
	length := Window + now - r.windowEnd
	r.windowEnd = now + Window
	if !r.primed {
		r.primed = true
		for at := range r.units {
			r.units[at].count = 0
		}
		return false
	}
	for at := range r.units {
		unit := &r.units[at]
		unit.update(float64(unit.count)/length.Seconds(), r.windows)
		unit.count = 0
	}
	r.windows++
	return true
}

// update updates the averages with the rate in a closed window, before which so many
// windows were closed.
func (u *unitRate) update(rate float64, windows int) {
	if windows == 0 {
		u.short = rate
		u.long = rate
		return
	}
	u.short += shortWeight * (rate - u.short)
	u.long += (rate - u.long) / float64(min(windows+1, longWindows))
	higher := max(u.short, u.long)
	standardError := math.Sqrt(higher / (Window.Seconds() * effectiveWindows(shortWeight)))
	if math.Abs(u.short-u.long) > changeThreshold*standardError {
		u.long = u.short
	}
}

// effectiveWindows returns the number of windows that exponential smoothing
// with the given weight averages over.
func effectiveWindows(weight float64) float64 { return (2 - weight) / weight }

// Windows returns the number of closed windows, without the discarded first
// one.
func (r *UnitRates) Windows() int { return r.windows }

// Units returns the number of units that are kept.
func (r *UnitRates) Units() int { return len(r.units) }

// Rate returns the estimated requests per second of a unit.
func (r *UnitRates) Rate(unit ownership.UnitID) float64 {
	at, known := r.find(unit)
	if !known {
		return 0
	}
	return r.units[at].long
}

// Total returns the estimated requests per second of the service.
func (r *UnitRates) Total() float64 {
	total := 0.0
	for _, unit := range r.units {
		total += unit.long
	}
	return total
}

// Noise returns the relative standard error of the estimated load of one
// server, assuming that all servers are equally loaded and arrivals are
// independent.
func (r *UnitRates) Noise(servers int) float64 {
	windows := float64(min(r.windows, longWindows))
	requests := r.Total() * Window.Seconds() * windows / float64(max(servers, 1))
	if requests <= 0 {
		return math.Inf(1)
	}
	return 1 / math.Sqrt(requests)
}
