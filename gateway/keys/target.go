package keys

import (
	"math"
	"slices"
)

// minTargetShare is the part of its proportional share of the requests that every
// server gets, so that the service time of a slow one stays known.
const minTargetShare = 0.1

// targetRates divides a total request rate among servers with the given service
// rates so that the mean response time is least: the square-root rule for
// heterogeneous servers (Buzen and Chen). With little load the slow servers get
// only minTargetShare of their proportional share; near saturation each gets a
// proportional one.
func targetRates(total float64, serviceRates []float64) []float64 {
	capacity := 0.0
	for _, rate := range serviceRates {
		capacity += rate
	}
	if capacity == 0 {
		return make([]float64, len(serviceRates))
	}
	if total >= capacity {
		return proportionalRates(total, serviceRates, capacity)
	}
	targets := proportionalRates(total*minTargetShare, serviceRates, capacity)
	rest := make([]float64, len(serviceRates))
	for at, target := range targets {
		rest[at] = serviceRates[at] - target
	}
	for at, rate := range squareRootRates(total*(1-minTargetShare), rest) {
		targets[at] += rate
	}
	return targets
}

func proportionalRates(total float64, serviceRates []float64, capacity float64) []float64 {
	rates := make([]float64, len(serviceRates))
	for at, rate := range serviceRates {
		rates[at] = total * rate / capacity
	}
	return rates
}

// squareRootRates leaves every server that is used a spare rate in proportion to the
// square root of its service rate. Servers too slow for any request are not used.
func squareRootRates(total float64, serviceRates []float64) []float64 {
	fastestFirst := make([]int, len(serviceRates))
	for at := range fastestFirst {
		fastestFirst[at] = at
	}
	slices.SortStableFunc(fastestFirst, func(a, b int) int {
		switch {
		case serviceRates[a] > serviceRates[b]:
			return -1
		case serviceRates[a] < serviceRates[b]:
			return 1
		}
		return 0
	})
	used, sum, sumOfRoots, factor := 0, 0.0, 0.0, 0.0
	for _, at := range fastestFirst {
		root := math.Sqrt(serviceRates[at])
		if used > 0 && sum > total && root <= factor {
			break
		}
		used++
		sum += serviceRates[at]
		sumOfRoots += root
		factor = (sum - total) / sumOfRoots
	}
	rates := make([]float64, len(serviceRates))
	for _, at := range fastestFirst[:used] {
		rates[at] = max(serviceRates[at]-math.Sqrt(serviceRates[at])*factor, 0)
	}
	return rates
}
