package keys

import (
	"cmp"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// Fingerprint returns the fingerprint of the machine's state at a time. Two machines with the
// same one decide the same from then on, with these exceptions: the times of runPrune and the
// number of fences that the page reserves beyond the half of which more are reserved.
func (m *Machine) Fingerprint(now time.Duration) Fingerprint {
	e := &StateEncoder{}
	e.Reset(now)
	m.Encode(e)
	return e.Sum()
}

// relevance bounds how long after the arrival of a grant this has an effect.
func (m *Machine) relevance() time.Duration {
	return max(m.options.MaxGrantTTL, m.longestTTL())*(100+clockDriftPercent)/100 + expiryMargin + impairedTransitTime
}

// Encode adds the machine's state to an encoder.
func (m *Machine) Encode(e *StateEncoder) {
	e.Bools(m.leading, m.renewOnly, m.isolationRuledOut, m.adopted, m.consulting, m.consulted, m.recordsLostGrants,
		m.pageKnown, m.writeUnknown, m.reading, m.listed, m.firstServerAt != 0)
	e.Fence(m.lastFence)
	e.Due(m.nextDraftAt)
	e.Due(m.retryStoreAt)
	e.Due(m.nextRebalanceAt)
	m.encodeServers(e)
	m.encodeCalls(e)
	m.encodeRates(e)
	m.encodeReady(e)
	if m.leading {
		m.encodeLeadership(e)
	}
}

// encodeLeadership adds what Lead sets anew.
func (m *Machine) encodeLeadership(e *StateEncoder) {
	e.Time(m.leadingSince, max(m.options.PredecessorTimeout, MaxCallDelay))
	e.Word(uint64(m.era))
	e.Word(uint64(m.settlement))
	e.Int(m.nextRange)
	e.Due(m.absenceCountsAt)
	e.Due(m.firstServerAt + discoveryTime)
	e.Due(m.longTTLFrom)
	if m.longTTLFrom > e.now {
		e.Word(uint64(m.shortTTL))
	}
	e.Int(m.fleet)
	e.Bools(m.fleetComplete)
	e.Version(uint64(m.version))
	e.Bools(m.page != nil && m.fencesLow())
	m.encodePages(e)
	m.predecessors.encode(e, m.relevance())
	m.encodeHolders(e)
	m.encodeFencing(e)
}

func (m *Machine) encodePages(e *StateEncoder) {
	m.page.AddTo(e)
	m.writing.AddTo(e)
	m.stored.AddTo(e)
	e.Int(len(m.changing))
	for _, from := range sortedKeys(m.changing, cmp.Compare) {
		e.Word(uint64(from))
	}
	m.lostGrants.AddTo(e, m.relevance())
	m.priorGrants.AddTo(e, m.relevance())
}

// AddTo adds the bounds to an encoder. relevance is how long after the arrival they have an
// effect.
func (b PriorGrantBounds) AddTo(e *StateEncoder, relevance time.Duration) {
	e.Word(uint64(b.seen.Era))
	e.stamp(b.seen.Number)
	e.Time(b.seenAt, relevance)
	e.Int(len(b.arrivals))
	for _, key := range sortedKeys(b.arrivals, compareHolders) {
		key.encode(e)
		at := b.arrivals[key]
		e.Bools(at == never)
		if at != never {
			e.Time(at, relevance)
		}
	}
}

// AddTo adds the bound to an encoder. relevance is how long after the arrival it has an
// effect.
func (b LostGrantsBound) AddTo(e *StateEncoder, relevance time.Duration) {
	b.grants.encode(e)
	e.Time(b.arrival, relevance)
}

// AddTo adds a page, or nil, to an encoder.
func (p *Page) AddTo(e *StateEncoder) {
	if p == nil {
		e.Word(0)
		return
	}
	e.Int(1 + len(p.Ranges))
	e.Word(uint64(p.Era))
	e.stamp(p.Number)
	e.Fence(p.Fence)
	e.Text(p.Writer.Incarnation)
	e.Name(p.Writer.Incarnation, p.WriteID)
	e.Word(uint64(p.MaxGrantTTL))
	e.Word(uint64(p.PriorGrantsArriveWithin))
	e.Word(uint64(p.EarlierGrantsArriveWithin))
	e.Int(p.Fleet)
	p.LostGrants.encode(e)
	e.Int(len(p.Predecessors))
	for _, leader := range p.Predecessors {
		e.Text(leader.Incarnation)
	}
	encodeUnfenced(e, p.Unfenced)
	for _, r := range p.Ranges {
		e.Word(uint64(r.From)<<32 | uint64(r.To)<<16 | uint64(len(r.Prior)))
		r.Owner.encode(e)
		for _, prior := range r.Prior {
			prior.encode(e)
		}
	}
}

func (h Holder) encode(e *StateEncoder) {
	encodeIncarnation(e, h.Incarnation)
	e.Text(h.Address)
	e.Fence(h.Fence)
}

func encodeIncarnation(e *StateEncoder, incarnation model.Incarnation) {
	e.Text(incarnation.ID)
	e.Word(uint64(incarnation.Born))
}

func (g LostGrants) encode(e *StateEncoder) {
	e.Text(g.Recorder)
	e.Name(g.Recorder, g.WriteID)
	e.Word(uint64(g.ArriveWithin))
	e.Bools(g.Ended)
}

func (p *predecessors) encode(e *StateEncoder, relevance time.Duration) {
	e.Int(len(p.active))
	for _, leader := range p.active {
		e.Text(leader.Incarnation)
	}
	e.Int(len(p.ended))
	for _, incarnation := range sortedKeys(p.ended, cmp.Compare) {
		e.Text(incarnation)
	}
	e.Int(len(p.impaired))
	for _, zone := range sortedKeys(p.impaired, cmp.Compare) {
		e.Text(zone)
	}
	e.Time(p.endedBy, relevance)
	e.Time(p.outvotedBy, relevance)
}

// sortedKeys returns the keys of a map in order. Most maps are empty.
func sortedKeys[K comparable, V any](from map[K]V, order func(a, b K) int) []K {
	if len(from) == 0 {
		return nil
	}
	found := make([]K, 0, len(from))
	for key := range from {
		found = append(found, key)
	}
	if len(found) > 1 {
		slices.SortFunc(found, order)
	}
	return found
}

func compareIncarnations(a, b model.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}

func (m *Machine) encodeServers(e *StateEncoder) {
	e.Int(len(m.servers))
	for _, incarnation := range sortedKeys(m.servers, compareIncarnations) {
		m.servers[incarnation].encode(e, m.relevance())
	}
	e.Int(len(m.impaired))
	for _, zone := range sortedKeys(m.impaired, cmp.Compare) {
		e.Text(zone)
		e.Time(m.impaired[zone], m.relevance()+CallTimeout)
	}
}

func (r *serverRow) encode(e *StateEncoder, relevance time.Duration) {
	encodeIncarnation(e, r.Incarnation())
	e.Text(r.Address)
	e.Text(r.Zone)
	e.Text(r.Service)
	e.Int(r.Slots)
	e.Word(uint64(r.WarmUp))
	e.Bools(r.Draining, r.Evacuated, r.listed, r.grantSent, r.acceptedGrant, r.unresponsive, r.releaseFailed, r.unconfirmed, r.probing)
	e.Time(r.refusedSince, relevance)
	e.Time(r.lastRefusedAt, relevance)
	e.Time(r.failingSince, relevance)
	e.Due(r.nextProbeAt)
	e.Due(r.limitedUntil)
	if r.limitedUntil > e.now {
		e.Float(r.maxRate)
	}
	r.encodeResponses(e)
	e.Int(len(r.granted))
	for _, from := range sortedKeys(r.granted, cmp.Compare) {
		grant := r.granted[from]
		e.Word(uint64(from))
		grant.encode(e, r.ID)
	}
}

// encodeResponses adds what is known of the server's response times.
func (r *serverRow) encodeResponses(e *StateEncoder) {
	e.Int(r.service.samples)
	if r.service.samples > 0 {
		e.Float(r.service.mean)
		e.Float(r.responses.count)
		e.Word(uint64(e.now - r.responses.at))
	}
}

// ConnectionScope is the scope of the names of connections.
const ConnectionScope = "connection"

func (g *grantRow) encode(e *StateEncoder, id string) {
	e.Fence(g.term)
	e.Word(uint64(g.to))
	e.Due(g.due)
	e.Fence(g.fence)
	e.Name(ConnectionScope, uint64(g.connection))
	e.Bools(g.inFlight, g.spent, g.accepted, g.handover != "")
}

// CallScope returns the scope of the names of a process's calls.
func CallScope(incarnation string) string { return "calls of " + incarnation }

// encodeCalls adds the calls in flight and when those that ended may have arrived.
func (m *Machine) encodeCalls(e *StateEncoder) {
	e.Int(m.calls)
	order := func(a, b endpoint) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.address, b.address)) }
	e.Int(len(m.endpoints))
	for _, key := range sortedKeys(m.endpoints, order) {
		row := m.endpoints[key]
		e.Text(key.id)
		e.Text(key.address)
		e.Time(row.latestArrival, m.relevance())
		e.Time(row.latestUnanswered, m.relevance())
		m.encodeIDs(e, row.inFlight)
	}
}

// encodeIDs adds the IDs of calls in flight. Their start times have no effect.
func (m *Machine) encodeIDs(e *StateEncoder, calls map[uint64]time.Duration) {
	e.Int(len(calls))
	for _, id := range sortedKeys(calls, cmp.Compare) {
		e.Name(CallScope(m.options.Self.Incarnation), id)
	}
}

func compareHolders(a, b holderKey) int {
	return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), compareIncarnations(a.incarnation, b.incarnation), cmp.Compare(a.fence, b.fence))
}

func (k holderKey) encode(e *StateEncoder) {
	e.Word(uint64(k.from)<<16 | uint64(k.to))
	encodeIncarnation(e, k.incarnation)
	e.Fence(k.fence)
}

// encodeHolders adds what is known of the prior holders.
func (m *Machine) encodeHolders(e *StateEncoder) {
	e.Int(len(m.bounds))
	for _, key := range sortedKeys(m.bounds, compareHolders) {
		key.encode(e)
		bound := m.bounds[key]
		e.Time(bound.latestArrival, m.relevance())
		e.Time(bound.latestUnanswered, m.relevance())
		m.encodeIDs(e, bound.pending)
	}
	e.Int(len(m.released))
	for _, key := range sortedKeys(m.released, compareHolders) {
		key.encode(e)
		result := m.released[key]
		e.Bools(result.done, result.ended, result.handover != "")
	}
	e.Int(len(m.releasing))
	for _, key := range sortedKeys(m.releasing, compareHolders) {
		key.encode(e)
	}
	e.Int(len(m.retryReleaseAt))
	for _, key := range sortedKeys(m.retryReleaseAt, compareHolders) {
		key.encode(e)
		e.Due(m.retryReleaseAt[key])
	}
}

func compareUnfenced(a, b UnfencedKeys) int {
	return cmp.Or(compareIncarnations(a.Incarnation, b.Incarnation), cmp.Compare(a.Address, b.Address), cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}

func (u UnfencedKeys) encode(e *StateEncoder) {
	encodeIncarnation(e, u.Incarnation)
	e.Text(u.Address)
	e.Word(uint64(u.From)<<16 | uint64(u.To))
}

func encodeUnfenced(e *StateEncoder, unfenced []UnfencedKeys) {
	e.Int(len(unfenced))
	for _, u := range unfenced {
		u.encode(e)
	}
}

// encodeFencing adds the calls to servers that have lost keys without being told, and the
// releases that may still arrive.
func (m *Machine) encodeFencing(e *StateEncoder) {
	e.Int(len(m.fencing))
	for _, key := range sortedKeys(m.fencing, compareUnfenced) {
		key.encode(e)
		row := m.fencing[key]
		e.Time(row.since, fencingMemory)
		e.Fence(row.first)
		e.Fence(row.last)
		e.Bools(row.inFlight, row.unanswered, row.done)
		e.Due(row.dueAt)
		e.Due(row.relayDueAt)
	}
	encodeUnfenced(e, m.cutOffPrior)
	for _, to := range sortedKeys(m.sentReleases, compareEndpoints) {
		m.encodeSentReleases(e, m.sentReleases[to])
	}
}

// encodeSentReleases adds the releases to one endpoint that may still arrive.
func (m *Machine) encodeSentReleases(e *StateEncoder, sent []sentRelease) {
	for _, sent := range sent {
		if sent.ended(m.now) {
			continue
		}
		encodeIncarnation(e, sent.call.Incarnation)
		e.Text(sent.call.Server)
		e.Text(sent.call.Address)
		e.Word(uint64(sent.call.From)<<16 | uint64(sent.call.To))
		e.Fence(sent.call.Fence)
		e.Fence(sent.call.Held)
		e.Bools(sent.call.Fencing, sent.call.Relayed)
		e.Word(uint64(sent.call.Timeout))
		e.Due(sent.arrival)
	}
}

func (m *Machine) encodeRates(e *StateEncoder) {
	e.Float(m.warmUpRate)
	e.Int(len(m.rates.byKey))
	if len(m.rates.byKey) == 0 {
		return
	}
	e.Word(uint64(e.now - m.rates.decayedAt))
	for _, key := range sortedKeys(m.rates.byKey, cmp.Compare) {
		e.Word(uint64(key))
		e.Float(m.rates.byKey[key])
	}
	e.Int(len(m.rates.recent))
	for _, recent := range m.rates.recent {
		e.Word(uint64(e.now - recent.at))
		e.Word(uint64(recent.key))
	}
}

// encodeReady adds the work that was not collected yet.
func (m *Machine) encodeReady(e *StateEncoder) {
	e.Bools(m.ready.Read, m.ready.Consult, m.ready.Write != nil)
	e.Int(len(m.ready.Grants))
	e.Int(len(m.ready.Releases))
	e.Int(len(m.ready.Probes))
}
