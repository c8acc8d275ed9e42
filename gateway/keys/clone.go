package keys

import (
	"maps"
	"slices"

	"guavacrank.example/gateway/model"
)

// Clone returns a copy of the machine that shares nothing with it that either changes.
// Pages are shared: nothing changes a page once it is drafted or read.
func (m *Machine) Clone() *Machine {
	copied := *m
	copied.predecessors = m.predecessors.clone()
	copied.rates.byKey = maps.Clone(m.rates.byKey)
	copied.rates.recent = slices.Clone(m.rates.recent)
	copied.impaired = maps.Clone(m.impaired)
	copied.priorGrants = m.priorGrants.clone()
	copied.changing = maps.Clone(m.changing)
	copied.bounds = cloneBounds(m.bounds)
	copied.released = maps.Clone(m.released)
	copied.releasing = maps.Clone(m.releasing)
	copied.retryReleaseAt = maps.Clone(m.retryReleaseAt)
	copied.fencing = cloneFencing(m.fencing)
	copied.cutOffPrior = slices.Clone(m.cutOffPrior)
	copied.sentReleases = m.sentReleases.clone()
	copied.endpoints = cloneEndpoints(m.endpoints)
	copied.ready = m.ready.clone()
	copied.cloneServers(m)
	return &copied
}

// cloneServers copies the rows of servers, and the indexes that refer to them.
func (m *Machine) cloneServers(from *Machine) {
	m.servers = make(map[model.Incarnation]*serverRow, len(from.servers))
	for incarnation, row := range from.servers {
		m.servers[incarnation] = row.clone()
	}
	m.latestByID = m.cloneIndex(from.latestByID)
	m.latestByAddress = m.cloneIndex(from.latestByAddress)
}

// cloneIndex copies an index of rows. It refers to listed servers only, and these are kept.
func (m *Machine) cloneIndex(from map[string]*serverRow) map[string]*serverRow {
	if from == nil {
		return nil
	}
	index := make(map[string]*serverRow, len(from))
	for name, row := range from {
		index[name] = m.servers[row.Incarnation()]
	}
	return index
}

func (r *serverRow) clone() *serverRow {
	copied := *r
	copied.granted = maps.Clone(r.granted)
	return &copied
}

func cloneEndpoints(from map[endpoint]*endpointRow) map[endpoint]*endpointRow {
	rows := make(map[endpoint]*endpointRow, len(from))
	for key, row := range from {
		copied := *row
		copied.inFlight = maps.Clone(row.inFlight)
		rows[key] = &copied
	}
	return rows
}

func cloneFencing(from map[UnfencedKeys]*fencingRow) map[UnfencedKeys]*fencingRow {
	rows := make(map[UnfencedKeys]*fencingRow, len(from))
	for key, row := range from {
		copied := *row
		rows[key] = &copied
	}
	return rows
}

func cloneBounds(from map[holderKey]holderBound) map[holderKey]holderBound {
	bounds := make(map[holderKey]holderBound)
	for key, bound := range from {
		bound.pending = maps.Clone(bound.pending)
		bounds[key] = bound
	}
	return bounds
}

func (p predecessors) clone() predecessors {
	p.active = slices.Clone(p.active)
	p.ended = maps.Clone(p.ended)
	p.impaired = maps.Clone(p.impaired)
	return p
}

func (r Ready) clone() Ready {
	r.Grants = slices.Clone(r.Grants)
	r.Releases = slices.Clone(r.Releases)
	r.Probes = slices.Clone(r.Probes)
	return r
}
