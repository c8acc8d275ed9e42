package keys

import (
	"maps"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

const (
	// CallTimeout is the timeout of a grant call.
	CallTimeout = 500 * time.Millisecond
	// releaseTimeout is the timeout of a release call. The server responds only after it
	// has finished its work on the keys.
	releaseTimeout = 4 * time.Second
	// MaxCallDelay is how long after its start a grant call may arrive.
	MaxCallDelay = CallTimeout + transitTime
)

// holderBound bounds how long the grants of a prior holder may be valid.
type holderBound struct {
	// latestArrival is the latest time at which a grant of this leader may have
	// arrived.
	latestArrival time.Duration
	// latestUnanswered is the same for unanswered grants, which the server may
	// apply after a release.
	latestUnanswered time.Duration
	// pending holds the start times of calls in flight, by call ID.
	pending map[uint64]time.Duration
}

// ttlNotice is how long a committed page announces a longer TTL before grants have it.
// All VMs know the page by then: one that was restored from their knowledge names the
// longest TTL of any grant.
const ttlNotice = 3 * time.Second

// announceTTL prepares for the TTL of a page that is replacing the current one.
func (m *Machine) announceTTL(next *Page) {
	if m.page == nil || next.MaxGrantTTL <= m.longestTTL() {
		return
	}
	m.shortTTL, m.longTTLFrom = m.grantTTL(), m.now+ttlNotice
}

// grantTTL returns the TTL of this leader's grants.
func (m *Machine) grantTTL() time.Duration {
	if m.now < m.longTTLFrom {
		return m.shortTTL
	}
	return m.longestTTL()
}

// longestTTL returns the longest TTL of any grant, as the committed page has it.
func (m *Machine) longestTTL() time.Duration {
	if m.page == nil {
		return m.options.GrantTTL
	}
	return max(m.options.GrantTTL, m.page.MaxGrantTTL)
}

// maxGrantLifetime returns how long a grant of any leader may be valid at a server
// with a slow clock.
func (m *Machine) maxGrantLifetime() time.Duration {
	return m.longestTTL() + m.longestTTL()*clockDriftPercent/100 + expiryMargin
}

// boundOf returns the bound of the grants that were sent to a holder until now.
func (m *Machine) boundOf(holder Holder) holderBound {
	row := m.endpointOf(holder.ID, holder.Address)
	return holderBound{
		latestArrival:    row.latestArrival,
		latestUnanswered: row.latestUnanswered,
		pending:          maps.Clone(row.inFlight),
	}
}

// takePage replaces the page by one that was read. The holders that it adds as prior ones may
// have had grants of this machine since it was drafted: in an earlier leadership, or before
// this machine knew that the page had been written. Their fences and bounds cover these.
func (m *Machine) takePage(read *Page) {
	page := read.clone()
	for _, r := range page.Ranges {
		var before Range
		if m.page != nil {
			before = m.page.rangeOf(r.From)
		}
		for at, prior := range r.Prior {
			if prior == unknownHolder || slices.Contains(before.Prior, prior) {
				continue
			}
			prior.Fence = max(prior.Fence, m.fenceOf(before, prior.Incarnation))
			r.Prior[at] = prior
			if !slices.Contains(before.Prior, prior) {
				m.bounds[holderKey{r.From, r.To, prior.Incarnation, prior.Fence}] = m.boundOf(prior)
			}
		}
	}
	page.withoutOwned()
	m.setPage(page)
}

// fenceOf returns the highest fence with which a server may hold a range, zero if it is
// neither the owner nor a prior holder.
func (m *Machine) fenceOf(r Range, server model.Incarnation) uint64 {
	fence := uint64(0)
	if r.Owner.Incarnation == server {
		fence = m.sentFence(r)
	}
	for _, prior := range r.Prior {
		if prior.Incarnation == server {
			fence = max(fence, prior.Fence)
		}
	}
	return fence
}

// latestArrival returns the latest time at which any grant may have arrived at a server,
// given that for grants of this leadership. A grant of an earlier leader may be applied late,
// when its server has accepted newer ones. It is computed on use because the end of earlier
// leaders may become known later.
func (m *Machine) latestArrival(row *serverRow, own time.Duration) time.Duration {
	return max(m.adjustArrival(row, own), m.predecessorArrival(row))
}

// latestUnanswered returns the latest time at which an unanswered grant may have
// arrived at a server, including grants of earlier leaders.
func (m *Machine) latestUnanswered(row *serverRow) time.Duration {
	return m.latestArrival(row, m.endpointOf(row.ID, row.Address).latestUnanswered)
}

// priorEnd says why a prior holder can't hold a range any more.
type priorEnd uint8

const (
	// notEnded means that it may hold the range.
	notEnded priorEnd = iota
	// endedByExpiry means that all grants that it may have received have expired.
	endedByExpiry
	// endedByProof means that it has answered a release, or that its process has ended.
	endedByProof
)

// priorEnded reports whether and why a prior holder can't hold a range any more, and
// returns the handover token that it gave on release. While grants of an earlier leader may
// arrive, the end of the holder's process proves nothing: a later life may get one. The list
// of servers proves nothing either: records may have other writers.
func (m *Machine) priorEnded(r Range, prior Holder) (end priorEnd, handover string) {
	if prior == unknownHolder {
		if m.unknownHoldersEnded() {
			return endedByExpiry, ""
		}
		return notEnded, ""
	}
	key := keyOf(r, prior)
	bound := m.bounds[key]
	if len(bound.pending) > 0 {
		return notEnded, ""
	}
	row := m.row(prior.Incarnation)
	arrived, late := m.priorArrival(key, row, bound.latestArrival), m.priorArrival(key, row, bound.latestUnanswered)
	result, released := m.released[key]
	switch {
	case result.ended && m.now >= m.earlierArrival(key, row):
		return endedByProof, ""
	case released && (late == 0 || m.now >= late+m.maxGrantLifetime()):
		return endedByProof, result.handover
	case m.now >= arrived+m.maxGrantLifetime():
		return endedByExpiry, ""
	default:
		return notEnded, ""
	}
}

// replaced reports whether a later incarnation is listed under the holder's ID or
// at its address. The holder's process has then ended, if the record is the later one's own.
func (m *Machine) replaced(holder Holder) bool {
	return m.latestByID[holder.ID].replaces(holder) || m.latestByAddress[holder.Address].replaces(holder)
}

// replaces reports whether a row is a later incarnation than a holder.
func (r *serverRow) replaces(holder Holder) bool { return r != nil && r.Born > holder.Born }

// mayGrant reports whether no prior holder of a range holds it any more. The
// handover token is returned only if there was exactly one.
func (m *Machine) mayGrant(r Range) (handover string, ok bool) {
	for _, prior := range r.Prior {
		end, priorHandover := m.priorEnded(r, prior)
		if end == notEnded {
			return "", false
		}
		handover = priorHandover
	}
	if len(r.Prior) > 1 {
		handover = ""
	}
	return handover, true
}

// runReleases asks prior holders to release their keys, also after the expiry of their grants:
// it proves nothing, and the page may list them as unfenced much later. It waits while a grant
// to the holder is in flight, which could arrive after the release. Whichever life of the
// holder answers, no earlier one holds the keys then.
func (m *Machine) runReleases() {
	if m.page == nil {
		return
	}
	owners := m.owners()
	for _, r := range m.page.Ranges {
		for _, prior := range r.Prior {
			if prior != unknownHolder {
				m.release(r, prior, owners)
			}
		}
	}
}

// release asks a prior holder to release its keys, if that is due. owners are the servers
// that own keys.
func (m *Machine) release(r Range, prior Holder, owners map[endpoint]bool) {
	key := keyOf(r, prior)
	if _, releasing := m.releasing[key]; releasing || len(m.bounds[key].pending) > 0 || m.released[key].done || m.now < m.retryReleaseAt[key] {
		return
	}
	end, _ := m.priorEnded(r, prior)
	ownsAgain := end == endedByExpiry && prior.endpoint() == r.Owner.endpoint()
	if end == endedByProof || ownsAgain || m.fenceCutOff(prior, owners) {
		return
	}
	fence, ok := m.takeFence() // The server refuses grants that were sent before, if they arrive later.
	if !ok {
		return
	}
	m.releasing[key] = m.now
	call := ReleaseCall{Incarnation: prior.Incarnation, Address: prior.Address, Timeout: m.releaseTimeout(key)}
	call.From, call.To, call.Fence, call.Server, call.Held = r.From, r.To, fence, prior.ID, prior.Fence
	m.sentReleases.add(call)
	m.ready.Releases = append(m.ready.Releases, call)
}

// releaseTimeout returns the timeout of the next release: a short one if the server may be
// cut off, or has not accepted a grant of this leader yet.
func (m *Machine) releaseTimeout(key holderKey) time.Duration {
	if row := m.row(key.incarnation); row.unresponsive || row.releaseFailed || !row.acceptedGrant {
		return fencingTimeout
	}
	return releaseTimeout
}
