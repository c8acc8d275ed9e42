package capacity

import "math"

const (
	// minShare is the part of a mean server's share of the requests that every server gets,
	// so that its speed stays known and its recovery is noticed.
	minShare = 0.03
	// minUtilization is the lowest utilization for which requests are shared, so that few
	// servers do not get all of a light load.
	minUtilization = 0.1
	// spillUtilization is the utilization of the near servers, as the ratio of their
	// arrivals to their rates, from which on requests go to far ones. spillRange is by how
	// much more utilization the share grows to 1, maxSpill the highest one.
	spillUtilization = 1.1
	spillRange       = 1.5
	maxSpill         = 0.3
	// maxFarUtilization is the highest utilization of the far servers, as a share of that of
	// the near ones: requests that go far share a link and take longer.
	maxFarUtilization = 0.7
	// zoneUtilization is the utilization of the servers in a VM's own zone up to which
	// those in other zones of the region have minZoneWeight; at fullUtilization it is 1.
	zoneUtilization = 0.5
	fullUtilization = 0.9
	minZoneWeight   = 0.1
)

// OtherZoneWeight returns the weight of servers in other zones of the region, where requests
// cost more, beside those in a VM's own zone, which take the given sum.
func OtherZoneWeight(sameZone Sum) float64 {
	if sameZone.Rate <= 0 {
		return 1
	}
	utilization := sameZone.Arrival / sameZone.Rate
	return min(max((utilization-zoneUtilization)/(fullUtilization-zoneUtilization), minZoneWeight), 1)
}

// Weights returns the weights by which servers of the given rates share requests that arrive
// at the given rate: the square-root rule for heterogeneous servers, by which fast servers
// take most of a light load and a heavy one is shared in proportion. It follows only slow
// changes of the load, so that the VMs, which all use it, do not swing together.
func Weights(rates []float64, arrival float64) []float64 {
	sum, roots := 0.0, 0.0
	for _, rate := range rates {
		sum += rate
		roots += math.Sqrt(rate)
	}
	weights := make([]float64, len(rates))
	if sum <= 0 {
		return weights
	}
	arrival = max(arrival, minUtilization*sum)
	spare := max(sum-arrival, 0) / roots
	least := minShare * arrival / float64(len(rates))
	for at, rate := range rates {
		weights[at] = max(rate-math.Sqrt(rate)*spare, least)
	}
	return weights
}

// Spill returns the share of the requests for near servers that go to far ones: none unless
// the near ones are nearly used up and the far ones less so.
func Spill(near, far Sum) float64 {
	if near.Rate <= 0 || far.Rate <= 0 {
		return 0
	}
	utilization := near.Arrival / near.Rate
	if far.Arrival/far.Rate > maxFarUtilization*utilization {
		return 0
	}
	return min(max((utilization-spillUtilization)/spillRange, 0), maxSpill)
}
