package keys

import (
	"sort"

	"guavacrank.example/gateway/model"
)

const (
	// sizeShare is the part of the total heat that is laid evenly on all keys,
	// so that cold keys count too.
	sizeShare = 0.15
	// leastSizeHeat is the same without any requests.
	leastSizeHeat = 1.0
	// slowest and fastest bound how much a server's measured time changes its
	// weight.
	slowest = 2.0
	fastest = 0.6
	// unknownLatency is assumed of a server that has not answered, in seconds.
	unknownLatency = 0.2
	// warmUpWeight is the weight of a server that is still slow after its start.
	warmUpWeight = 0.6
)

// loadTable is the load of each usable server: heat for each unit of weight.
type loadTable struct {
	rows    []*serverRow // Usable servers in the order of their IDs.
	servers map[model.Life]*serverRow
	sorted  []keyHeat
	keyHeat float64 // Heat of each key by its mere existence.
}

// loads works out the load of every usable server from the newest page.
func (m *Machine) loads() *loadTable {
	m.heat.decay(m.now)
	t := &loadTable{servers: m.servers, sorted: m.heat.sorted()}
	t.keyHeat = (sizeShare*sum(t.sorted) + leastSizeHeat) / model.Keys
	latencies, known := 0.0, 0
	for _, row := range m.servers {
		row.heat = 0
		if !row.listed || row.Draining || row.unsure || m.outOfReach(row) || m.replacedLife(Holder{Life: row.Life(), Address: row.Address}) {
			continue
		}
		t.rows = append(t.rows, row)
		if row.latency > 0 {
			latencies += row.latency
			known++
		}
	}
	sort.Slice(t.rows, func(i, j int) bool { return t.rows[i].ID < t.rows[j].ID })
	for _, row := range t.rows {
		weight := float64(row.Slots)
		if row.latency > 0 {
			ratio := row.latency / (latencies / float64(known))
			weight /= min(max(ratio, fastest), slowest)
		} else if row.WarmUp > 0 {
			weight *= warmUpWeight
		}
		row.weight = weight
	}
	if m.page != nil {
		for _, r := range m.page.Ranges {
			if row := m.servers[r.Owner.Life]; row != nil {
				row.heat += t.of(r)
			}
		}
	}
	for _, row := range t.rows {
		row.busy = t.busy(row)
	}
	return t
}

// usable returns the servers that may own keys.
func (t *loadTable) usable() []*serverRow { return t.rows }

// of returns the load that a range brings.
func (t *loadTable) of(r Range) float64 {
	return sum(within(t.sorted, r.From, r.To)) + t.keyHeat*float64(r.Size())
}

// load returns a server's heat for each unit of weight.
func (t *loadTable) load(row *serverRow) float64 {
	return row.heat / row.weight
}

// capacity returns the heat at which a server's slots are all taken.
func (t *loadTable) capacity(row *serverRow) float64 {
	latency := row.latency
	if latency == 0 {
		latency = unknownLatency
	}
	return heatTime * float64(row.Slots) / latency
}

// busy returns the part of a server's slots that its keys' requests take.
func (t *loadTable) busy(row *serverRow) float64 {
	return row.heat / t.capacity(row)
}

// idle says whether a server owns no keys.
func (t *loadTable) idle(row *serverRow) bool { return row.heat == 0 }

// least returns the server with the least load other than one, or nil.
func (t *loadTable) least(other *serverRow) *serverRow {
	var best *serverRow
	for _, row := range t.rows {
		if row != other && (best == nil || t.load(row) < t.load(best)) {
			best = row
		}
	}
	return best
}

// byLoad returns the servers but for some, those with the greatest load first.
func (t *loadTable) byLoad(others map[*serverRow]bool) []*serverRow {
	found := make([]*serverRow, 0, len(t.rows))
	for _, row := range t.rows {
		if !others[row] {
			found = append(found, row)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return t.load(found[i]) > t.load(found[j]) })
	return found
}

// mean returns the load if it were even.
func (t *loadTable) mean() float64 {
	heat, weight := 0.0, 0.0
	for _, row := range t.rows {
		heat += row.heat
		weight += row.weight
	}
	if weight == 0 {
		return 0
	}
	return heat / weight
}

// strongest returns the server with the greatest weight.
func (t *loadTable) strongest() *serverRow {
	var best *serverRow
	for _, row := range t.rows {
		if best == nil || row.weight > best.weight {
			best = row
		}
	}
	return best
}

// hottestKey returns the key with the greatest heat in a range.
func (t *loadTable) hottestKey(r Range) keyHeat {
	best := keyHeat{key: r.From}
	for _, k := range within(t.sorted, r.From, r.To) {
		if k.heat > best.heat {
			best = k
		}
	}
	return best
}

// shift counts a range for another server.
func (t *loadTable) shift(from, to model.Life, r Range) {
	heat := t.of(r)
	t.addHeat(from, -heat)
	t.addHeat(to, heat)
}

func (t *loadTable) addHeat(life model.Life, heat float64) {
	if row := t.servers[life]; row != nil {
		row.heat += heat
	}
}

// cut returns the last key of the part at the beginning of a range that brings
// at least the wanted load.
func (t *loadTable) cut(r Range, wanted float64) int {
	passed, next := 0.0, int(r.From)
	for _, k := range within(t.sorted, r.From, r.To) {
		gap := float64(int(k.key)-next) * t.keyHeat
		if passed+gap >= wanted {
			break
		}
		passed += gap + k.heat + t.keyHeat
		next = int(k.key) + 1
		if passed >= wanted {
			return min(next-1, int(r.To))
		}
	}
	more := int((wanted - passed) / t.keyHeat)
	return min(max(next+more-1, int(r.From)), int(r.To))
}
