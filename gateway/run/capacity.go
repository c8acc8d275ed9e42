package run

const (
	// minCapacityShare is the share of the highest capacity in the fleet below which
	// a daemon leaves the leadership to others.
	minCapacityShare = 0.5
	// minCapacity is the capacity below which a daemon does so before it knows the
	// others. Its link is too slow to transfer a large configuration while keeping
	// the lease.
	minCapacity = 0.1
)

// hasLowCapacity says whether a daemon leaves the leadership to daemons of higher
// capacity. maxCapacity is the highest known capacity, or zero if none is known.
func hasLowCapacity(capacity, maxCapacity float64) bool {
	if capacity == 0 {
		return false // Unknown.
	}
	return maxCapacity == 0 && capacity < minCapacity || capacity < minCapacityShare*maxCapacity
}

// maxCapacity returns the highest capacity of the daemons that report.
func (l *loop) maxCapacity() float64 {
	highest := l.settings.Capacity()
	for _, m := range l.members {
		highest = max(highest, m.capacity)
	}
	return highest
}
