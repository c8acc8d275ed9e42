// Package load estimates the work of units and frequent keys from what the
// VMs' own traffic counted. Reports of backend servers are not used: they lag
// and may mislead.
//
// Counts are added up over windows of fixed length. A long average keeps the
// error small; where a short average differs from it by more than chance
// explains, the load has changed and the short one takes its place. The package
// is pure: the caller passes the time in.
package load

import (
	"math"
	"time"

	"guavacrank.example/control/ownership"
)

const (
	// Window is the length of one counting window.
	Window = 5 * time.Second
	// shortWeight is the weight of the newest window in the short average.
	shortWeight = 0.5
	// longWindows is the number of windows that the long average covers.
	longWindows = 60
	// changeErrors is the number of standard errors by which the averages must
	// differ for the load to count as changed.
	changeErrors = 4.5
)

// UnitRates estimates the requests a second of each unit of one service.
type UnitRates struct {
	windowEnd time.Duration
	counts    []uint64  // Requests in the open window, by unit.
	short     []float64 // Short average of requests a second, by unit.
	rates     []float64 // Long average of requests a second, by unit.
	windows   int       // Closed windows that count.
	primed    bool      // The first window has ended.
}

// NewUnitRates returns an empty table whose first window opens at now.
func NewUnitRates(now time.Duration) *UnitRates {
	return &UnitRates{windowEnd: now + Window}
}

// Add counts requests of a unit in the open window.
func (t *UnitRates) Add(unit ownership.UnitID, requests uint32) {
	t.grow(int(unit) + 1)
	t.counts[unit] += uint64(requests)
}

// Advance closes the window if it has ended, and reports whether it counts. The
// first one does not: it began before every VM reported, and what is missing
// would look like idle servers. A window that ended long ago counts once.
func (t *UnitRates) Advance(now time.Duration) bool {
	if now < t.windowEnd {
		return false
	}
	length := Window + now - t.windowEnd
	t.windowEnd = now + Window
	if !t.primed {
		t.primed = true
		clear(t.counts)
		return false
	}
	for unit, count := range t.counts {
		t.rollUnit(unit, float64(count)/length.Seconds())
		t.counts[unit] = 0
	}
	t.windows++
	return true
}

// rollUnit takes the rate of one closed window into the unit's averages.
func (t *UnitRates) rollUnit(unit int, rate float64) {
	if t.windows == 0 {
		t.short[unit] = rate
		t.rates[unit] = rate
		return
	}
	t.short[unit] += shortWeight * (rate - t.short[unit])
	t.rates[unit] += (rate - t.rates[unit]) / float64(min(t.windows+1, longWindows))
	greater := max(t.short[unit], t.rates[unit])
	standardError := math.Sqrt(greater / (Window.Seconds() * averagedWindows(shortWeight)))
	if math.Abs(t.short[unit]-t.rates[unit]) > changeErrors*standardError {
		t.rates[unit] = t.short[unit]
	}
}

// averagedWindows is the number of windows that exponential smoothing with a
// weight averages over.
func averagedWindows(weight float64) float64 { return (2 - weight) / weight }

// Windows returns the number of closed windows that count.
func (t *UnitRates) Windows() int { return t.windows }

// Rate returns the unit's estimated requests a second.
func (t *UnitRates) Rate(unit ownership.UnitID) float64 {
	if int(unit) >= len(t.rates) {
		return 0
	}
	return t.rates[unit]
}

// Total returns the service's estimated requests a second.
func (t *UnitRates) Total() float64 {
	total := 0.0
	for _, rate := range t.rates {
		total += rate
	}
	return total
}

// Noise returns the relative standard error of the estimated load of one of
// servers equally loaded servers, for arrivals that are independent.
func (t *UnitRates) Noise(servers int) float64 {
	windows := float64(min(t.windows, longWindows))
	requests := t.Total() * Window.Seconds() * windows / float64(max(servers, 1))
	if requests <= 0 {
		return math.Inf(1)
	}
	return 1 / math.Sqrt(requests)
}

func (t *UnitRates) grow(length int) {
	for len(t.counts) < length {
		t.counts = append(t.counts, 0)
		t.short = append(t.short, 0)
		t.rates = append(t.rates, 0)
	}
}
