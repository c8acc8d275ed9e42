package keys

import (
	"slices"
	"sort"
	"time"

	"guavacrank.example/gateway/model"
)

const (
	// baseShare is the part of the total request rate that is added evenly to all
	// keys, so that idle keys count too.
	baseShare = 0.15
	// minBaseRate is the total added without any requests.
	minBaseRate = 1.0
	// defaultServiceTime is assumed while no server's is known, in seconds.
	defaultServiceTime = 0.2
	// minLimitedRate is the least capacity of a server that limits its requests, in
	// requests per second.
	minLimitedRate = 0.1
	// warmUpFactor is the expected capacity of a server that is still warming up.
	warmUpFactor = 0.6
)

// loadTable holds the load of each usable server: the ratio of its rate to its
// target rate.
type loadTable struct {
	rows     []*serverRow // Usable servers, sorted by ID.
	servers  map[model.Incarnation]*serverRow
	sorted   []keyRate
	baseRate float64 // Added to the rate of each key.
	// warmUpRate is the number of requests per second that a cold server takes, or zero.
	warmUpRate float64
	// meanServiceTime is the mean of the servers' service times in seconds.
	meanServiceTime float64
}

// loads computes the load of every usable server from the current page.
func (m *Machine) loads() *loadTable {
	m.rates.decay(m.now)
	t := &loadTable{servers: m.servers, warmUpRate: m.warmUpRate, sorted: m.rates.sorted()}
	for _, row := range m.servers {
		row.rate = 0
		if !row.listed || row.Draining || row.unconfirmed || m.unreachable(row) || m.replaced(Holder{Incarnation: row.Incarnation(), Address: row.Address}) {
			continue
		}
		if m.beingFenced(row.endpoint()) {
			continue
		}
		t.rows = append(t.rows, row)
	}
	sort.Slice(t.rows, func(i, j int) bool { return t.rows[i].ID < t.rows[j].ID })
	t.estimateCapacities(m.now)
	if m.page != nil {
		followSurges(t.sorted, m.rates.recentKeys(m.now), m.page.Ranges)
	}
	if fastest := t.fastest(); fastest != nil {
		limitKeys(t.sorted, fastest.capacity)
	}
	t.baseRate = (baseShare*sumRates(t.sorted) + minBaseRate) / model.Keys
	if m.page != nil {
		for _, r := range m.page.Ranges {
			if row := m.servers[r.Owner.Incarnation]; row != nil {
				row.rate += t.rangeRate(r)
			}
		}
	}
	t.setTargets()
	return t
}

// estimateCapacities sets the mean service time and each server's capacity. A
// server's few responses count together with those of the others.
func (t *loadTable) estimateCapacities(now time.Duration) {
	total, known := 0.0, 0
	for _, row := range t.rows {
		if row.service.samples > 0 {
			total += row.service.mean
			known++
		}
	}
	t.meanServiceTime = defaultServiceTime
	if known > 0 {
		t.meanServiceTime = total / float64(known)
	}
	for _, row := range t.rows {
		row.serviceTime = row.service.estimate(t.meanServiceTime)
		row.capacity = countPerRate * float64(max(row.Slots, 1)) / row.serviceTime
		if row.service.samples == 0 && row.WarmUp > 0 {
			row.capacity *= warmUpFactor
		}
		if row.WarmUp > 0 && t.warmUpRate > 0 {
			row.capacity = min(row.capacity, countPerRate*t.warmUpRate)
		}
		if now < row.limitedUntil {
			row.capacity = min(row.capacity, countPerRate*max(row.maxRate, minLimitedRate))
		}
	}
}

// setTargets sets the utilization and the target rate of every server.
func (t *loadTable) setTargets() {
	total, capacities := 0.0, make([]float64, len(t.rows))
	for at, row := range t.rows {
		row.utilization = t.utilization(row)
		total += row.rate
		capacities[at] = row.capacity
	}
	// Servers none of which owns keys, as when all owners have ended, get targets too.
	total = max(total, minBaseRate)
	for at, target := range targetRates(total, capacities) {
		t.rows[at].target = target
	}
}

// usable returns the servers that may own keys.
func (t *loadTable) usable() []*serverRow { return t.rows }

// rangeRate returns the rate of a range.
func (t *loadTable) rangeRate(r Range) float64 {
	return sumRates(ratesIn(t.sorted, r.From, r.To)) + t.baseRate*float64(r.Size())
}

// has reports whether a server may own keys.
func (t *loadTable) has(row *serverRow) bool { return slices.Contains(t.rows, row) }

// load returns the ratio of a server's rate to its target rate.
func (t *loadTable) load(row *serverRow) float64 {
	return row.rate / row.target
}

// utilization returns the part of a server's slots that its requests take.
func (t *loadTable) utilization(row *serverRow) float64 {
	return row.rate / row.capacity
}

// empty reports whether a server owns no keys.
func (t *loadTable) empty(row *serverRow) bool { return row.rate == 0 }

// leastLoaded returns the server with the least load except excluded, or nil.
func (t *loadTable) leastLoaded(excluded *serverRow) *serverRow {
	var best *serverRow
	for _, row := range t.rows {
		if row != excluded && (best == nil || t.load(row) < t.load(best)) {
			best = row
		}
	}
	return best
}

// byLoad returns the servers that are not excluded, by descending load.
func (t *loadTable) byLoad(excluded map[*serverRow]bool) []*serverRow {
	found := make([]*serverRow, 0, len(t.rows))
	for _, row := range t.rows {
		if !excluded[row] {
			found = append(found, row)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return t.load(found[i]) > t.load(found[j]) })
	return found
}

// meanLoad returns the load of every server if all had their target rates.
func (t *loadTable) meanLoad() float64 {
	rate, target := 0.0, 0.0
	for _, row := range t.rows {
		rate += row.rate
		target += row.target
	}
	if target == 0 {
		return 0
	}
	return rate / target
}

// fastest returns the server with the greatest capacity.
func (t *loadTable) fastest() *serverRow {
	var best *serverRow
	for _, row := range t.rows {
		if best == nil || row.capacity > best.capacity {
			best = row
		}
	}
	return best
}

// hottestKey returns the key with the highest rate in a range.
func (t *loadTable) hottestKey(r Range) keyRate {
	best := keyRate{key: r.From}
	for _, k := range ratesIn(t.sorted, r.From, r.To) {
		if k.rate > best.rate {
			best = k
		}
	}
	return best
}

// moveRate accounts a range to another server.
func (t *loadTable) moveRate(from, to model.Incarnation, r Range) {
	rate := t.rangeRate(r)
	t.addRate(from, -rate)
	t.addRate(to, rate)
}

func (t *loadTable) addRate(incarnation model.Incarnation, rate float64) {
	if row := t.servers[incarnation]; row != nil {
		row.rate += rate
	}
}

// splitPoint returns the last key of the shortest leading part of a range that
// carries at least the wanted rate.
func (t *loadTable) splitPoint(r Range, wanted float64) int {
	accumulated, next := 0.0, int(r.From)
	for _, k := range ratesIn(t.sorted, r.From, r.To) {
		gap := float64(int(k.key)-next) * t.baseRate
		if accumulated+gap >= wanted {
			break
		}
		accumulated += gap + k.rate + t.baseRate
		next = int(k.key) + 1
		if accumulated >= wanted {
			return min(next-1, int(r.To))
		}
	}
	more := int((wanted - accumulated) / t.baseRate)
	return min(max(next+more-1, int(r.From)), int(r.To))
}
