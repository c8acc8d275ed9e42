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
	"math"
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
	windowEnd  time.Duration
	counts     []uint64  // Requests in the open window, by unit.
	shortRates []float64 // Short average of requests per second, by unit.
	rates      []float64 // Long average, reset to the short one when the load changes.
	windows    int       // Number of closed windows, without the discarded first one.
	primed     bool      // The first window has been closed and discarded.
}

// NewUnitRates returns estimates without data, whose first window starts at
// now.
func NewUnitRates(now time.Duration) *UnitRates {
	return &UnitRates{windowEnd: now + Window}
}

// Add adds a number of requests for a unit to the open window.
func (r *UnitRates) Add(unit ownership.UnitID, requests uint32) {
	r.grow(int(unit) + 1)
	r.counts[unit] += uint64(requests)
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
		clear(r.counts)
		return false
	}
	for unit, count := range r.counts {
		r.updateUnit(unit, float64(count)/length.Seconds())
		r.counts[unit] = 0
	}
	r.windows++
	return true
}

// updateUnit updates the unit's averages with its rate in one closed window.
func (r *UnitRates) updateUnit(unit int, rate float64) {
	if r.windows == 0 {
		r.shortRates[unit] = rate
		r.rates[unit] = rate
		return
	}
	r.shortRates[unit] += shortWeight * (rate - r.shortRates[unit])
	r.rates[unit] += (rate - r.rates[unit]) / float64(min(r.windows+1, longWindows))
	higher := max(r.shortRates[unit], r.rates[unit])
	standardError := math.Sqrt(higher / (Window.Seconds() * effectiveWindows(shortWeight)))
	if math.Abs(r.shortRates[unit]-r.rates[unit]) > changeThreshold*standardError {
		r.rates[unit] = r.shortRates[unit]
	}
}

// effectiveWindows returns the number of windows that exponential smoothing
// with the given weight averages over.
func effectiveWindows(weight float64) float64 { return (2 - weight) / weight }

// Windows returns the number of closed windows, without the discarded first
// one.
func (r *UnitRates) Windows() int { return r.windows }

// Rate returns the estimated requests per second of a unit.
func (r *UnitRates) Rate(unit ownership.UnitID) float64 {
	if int(unit) >= len(r.rates) {
		return 0
	}
	return r.rates[unit]
}

// Total returns the estimated requests per second of the service.
func (r *UnitRates) Total() float64 {
	total := 0.0
	for _, rate := range r.rates {
		total += rate
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

func (r *UnitRates) grow(length int) {
	for len(r.counts) < length {
		r.counts = append(r.counts, 0)
		r.shortRates = append(r.shortRates, 0)
		r.rates = append(r.rates, 0)
	}
}
