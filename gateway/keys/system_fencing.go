package keys

import (
	"maps"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// A server that was out of reach loses its keys when their grants have expired. A grant of an
// earlier leader may still be on its way to it then: the connections of a process that was
// killed may deliver what they hold once the network lets them. So the leader calls the server
// until it has answered a release with a higher fence (a fencing call), and it gets no other
// keys before.

const (
	// fencingTimeout is the timeout of calls to a server that may be cut off. It is short, so
	// that the server hears of the fence soon after the network lets it.
	fencingTimeout = 200 * time.Millisecond
	// eagerFencingTime is for how long fencing calls follow one another without a pause and
	// time out that soon. Later ones have the timeout of a grant.
	eagerFencingTime = 20 * time.Second
	// relayInterval is the least time between two fencing calls that are relayed by other VMs.
	relayInterval = 200 * time.Millisecond
	// fencingPause is the pause between two calls after that, and after one that was
	// refused: the process has probably ended.
	fencingPause = time.Second
	// fencingMemory is for how long a server that is not listed is called.
	fencingMemory = time.Minute
)

// fencingRow is the state of the calls for one entry of Page.Unfenced.
type fencingRow struct {
	since    time.Duration // When this leader read or wrote the entry first.
	first    uint64        // The fence of the first call.
	last     uint64        // The fence of the last call.
	inFlight bool
	// unanswered reports that a call was not answered.
	unanswered bool
	dueAt      time.Duration
	relayDueAt time.Duration // When the next call may be relayed by other VMs.
	done       bool
}

// fenced reports whether an entry of Page.Unfenced has ended. A record of another server at
// the address does not prove that; such a server answers the call.
func (m *Machine) fenced(keys UnfencedKeys) bool {
	row := m.fencing[keys]
	if row == nil {
		return false
	}
	server := m.servers[keys.Incarnation]
	forgotten := m.now >= row.since+fencingMemory && (server == nil || m.absent(server))
	return row.done || forgotten
}

// runFencing sends higher fences to the servers that have lost keys without being told, and
// to those that are losing keys and may be cut off.
func (m *Machine) runFencing() {
	if m.page == nil || !m.adopted {
		return
	}
	unfenced := append(slices.Clone(m.page.Unfenced), m.cutOffPrior...)
	m.cutOffPrior = m.cutOffPrior[:0]
	needed := make(map[UnfencedKeys]bool, len(unfenced))
	for _, keys := range unfenced {
		needed[keys] = true
	}
	for keys, row := range m.fencing {
		if !row.inFlight && !needed[keys] {
			delete(m.fencing, keys)
		}
	}
	for _, keys := range unfenced {
		row := m.fencing[keys]
		if row == nil {
			row = &fencingRow{since: m.now}
			m.fencing[keys] = row
		}
		if !row.inFlight && !row.done && m.now >= row.dueAt {
			m.sendFence(keys, row)
		}
	}
}

// fenceCutOff reports whether a prior holder that may be cut off and owns no keys gets one
// fencing call for all its keys in place of releases, and notes it for runFencing. owners are
// the servers that own keys.
func (m *Machine) fenceCutOff(prior Holder, owners map[endpoint]bool) bool {
	if row := m.row(prior.Incarnation); !row.unresponsive && !row.releaseFailed {
		return false
	}
	if owners[prior.endpoint()] {
		return false
	}
	all := UnfencedKeys{prior.Incarnation, prior.Address, 0, model.Keys - 1}
	if !slices.Contains(m.cutOffPrior, all) {
		m.cutOffPrior = append(m.cutOffPrior, all)
	}
	return true
}

// owners returns the servers that own keys, or will once the page that is being written is in
// force, in any of their lives at the address.
func (m *Machine) owners() map[endpoint]bool {
	owners := m.page.owners()
	if m.writing != nil {
		maps.Copy(owners, m.writing.owners())
	}
	return owners
}

// beingFenced reports whether a server gets fencing calls, in any of its lives at the address.
func (m *Machine) beingFenced(server endpoint) bool {
	for keys := range m.fencing {
		if keys.endpoint() == server {
			return true
		}
	}
	return m.page != nil && m.page.unfenced(server)
}

// fencingInFlight reports whether a fencing call to a server is in flight. It could take
// away a grant that is sent meanwhile.
func (m *Machine) fencingInFlight(server endpoint) bool {
	for keys, row := range m.fencing {
		if keys.endpoint() == server && row.inFlight {
			return true
		}
	}
	return false
}

// noteReleased records that a server has released keys which ranges name it for as a prior
// holder.
func (m *Machine) noteReleased(keys UnfencedKeys, ended bool) {
	for _, r := range m.page.Ranges {
		for _, prior := range r.Prior {
			if prior.Incarnation == keys.Incarnation && prior != unknownHolder && keys.From <= r.From && r.To <= keys.To {
				key := holderKey{r.From, r.To, prior.Incarnation, prior.Fence}
				handover := m.released[key].handover
				m.released[key] = releaseResult{done: true, handover: handover, ended: ended}
			}
		}
	}
}

// sendFence sends a release with a fence above all that earlier leaders sent.
func (m *Machine) sendFence(keys UnfencedKeys, row *fencingRow) {
	fence, ok := m.takeFence()
	if !ok {
		return
	}
	row.inFlight, row.last = true, fence
	if row.first == 0 {
		row.first = fence
	}
	call := ReleaseCall{Incarnation: keys.Incarnation, Address: keys.Address, Fencing: true, Timeout: fencingTimeout}
	if m.now >= row.since+eagerFencingTime {
		call.Timeout = CallTimeout
	}
	if m.mayBeCutOff(keys.Incarnation, row) && m.now >= row.relayDueAt {
		call.Relayed, row.relayDueAt = true, m.now+relayInterval
	}
	call.From, call.To, call.Fence, call.Server, call.Held = keys.From, keys.To, fence, keys.ID, row.first
	m.sentReleases.add(call)
	m.ready.Releases = append(m.ready.Releases, call)
}

// mayBeCutOff reports whether a server may be out of this VM's reach, or turn its connections
// away.
func (m *Machine) mayBeCutOff(server model.Incarnation, calls *fencingRow) bool {
	row := m.row(server)
	return calls.unanswered || row.unresponsive || row.releaseFailed
}

// stepFenced takes the outcome of a fencing call. Another server at the address proves that
// the process, and with it its connections, has ended.
func (m *Machine) stepFenced(call ReleaseCall, outcome ReleaseOutcome) {
	keys := UnfencedKeys{call.Incarnation, call.Address, call.From, call.To}
	row := m.fencing[keys]
	m.repeatGrants(call)
	if row == nil || row.last != call.Fence {
		return
	}
	row.inFlight = false
	row.unanswered = row.unanswered || outcome == ReleaseUnanswered || outcome == ReleaseNoListener
	switch {
	case outcome == Released || outcome == ReleasedByOne:
		row.done = true
		m.noteReleased(keys, false)
		m.row(keys.Incarnation).releaseFailed = false
	case outcome == HolderEnded && m.now < m.predecessorBound():
		row.dueAt = m.now + probeInterval // A later life may still get a grant.
	case outcome == HolderEnded:
		row.done = true
		m.noteReleased(keys, true)
	case outcome == ReleaseNoListener || outcome == ReleaseRefused || m.now >= row.since+eagerFencingTime:
		row.dueAt = m.now + fencingPause
	}
}
