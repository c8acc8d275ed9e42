package keys

import (
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// A server that was out of reach loses its keys when their grants have expired. A grant of an
// earlier leader may still be on its way to it then: the connections of a process that was
// killed may deliver what they hold once the network lets them. So the page lists the server
// until it has been told a higher fence, and it gets no other keys before.

// UnfencedKeys are keys that a server has lost without being told. It may accept an earlier
// leader's grant of them.
type UnfencedKeys struct {
	model.Incarnation
	Address  string
	From, To uint16
}

const (
	// fencingTimeout is the timeout of calls to a server that may be cut off. It is short, so
	// that the server hears of the fence soon after the network lets it.
	fencingTimeout = 200 * time.Millisecond
	// eagerFencingTime is for how long fencing calls follow one another without a pause.
	eagerFencingTime = 20 * time.Second
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
	dueAt    time.Duration
	done     bool
}

// unfenced reports whether a server has lost keys without being told.
func (p *Page) unfenced(server model.Incarnation) bool {
	return slices.ContainsFunc(p.Unfenced, func(u UnfencedKeys) bool { return u.Incarnation == server })
}

// recordUnfenced lists the prior holders of a range whose grants have only expired.
func (b *pageBuilder) recordUnfenced(r Range) {
	for _, prior := range r.Prior {
		if end, _ := b.priorEnded(r, prior); end == endedByExpiry && prior != unknownHolder {
			b.page.addUnfenced(UnfencedKeys{prior.Incarnation, prior.Address, r.From, r.To})
		}
	}
}

// addUnfenced lists keys that a server has lost. A server that owns no keys is listed once.
func (p *Page) addUnfenced(lost UnfencedKeys) {
	if !p.hasOwner(lost.Incarnation) {
		p.Unfenced = slices.DeleteFunc(p.Unfenced, func(u UnfencedKeys) bool { return u.Incarnation == lost.Incarnation })
		lost.From, lost.To = 0, model.Keys-1
	}
	if !slices.Contains(p.Unfenced, lost) {
		p.Unfenced = append(p.Unfenced, lost)
	}
}

// withoutOwned removes from the unfenced keys those that their servers own: a grant of them
// has a higher fence.
func (p *Page) withoutOwned() {
	for _, r := range p.Ranges {
		var kept []UnfencedKeys
		for _, u := range p.Unfenced {
			kept = append(kept, u.without(r)...)
		}
		p.Unfenced = kept
	}
}

// without returns the parts of the keys that lie outside a range, if the server owns it.
func (u UnfencedKeys) without(r Range) []UnfencedKeys {
	if u.Incarnation != r.Owner.Incarnation || u.To < r.From || r.To < u.From {
		return []UnfencedKeys{u}
	}
	var parts []UnfencedKeys
	if u.From < r.From {
		before := u
		before.To = r.From - 1
		parts = append(parts, before)
	}
	if r.To < u.To {
		after := u
		after.From = r.To + 1
		parts = append(parts, after)
	}
	return parts
}

// hasOwner reports whether a server owns keys.
func (p *Page) hasOwner(server model.Incarnation) bool {
	return slices.ContainsFunc(p.Ranges, func(r Range) bool { return r.Owner.Incarnation == server })
}

// dropFenced drops the entries of servers that were told a higher fence or have ended.
func (b *pageBuilder) dropFenced() {
	count := len(b.page.Unfenced)
	b.page.Unfenced = slices.DeleteFunc(b.page.Unfenced, b.fenced)
	b.changed = b.changed || len(b.page.Unfenced) < count
}

// fenced reports whether an entry of Page.Unfenced has ended.
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
	for keys, row := range m.fencing {
		if !row.inFlight && !slices.Contains(unfenced, keys) {
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
// fencing call for all its keys in place of releases, and notes it for runFencing.
func (m *Machine) fenceCutOff(prior Holder) bool {
	row := m.row(prior.Incarnation)
	owner := m.page.hasOwner(prior.Incarnation) || m.writing != nil && m.writing.hasOwner(prior.Incarnation)
	if owner || !row.unresponsive && !row.releaseFailed {
		return false
	}
	all := UnfencedKeys{prior.Incarnation, prior.Address, 0, model.Keys - 1}
	if !slices.Contains(m.cutOffPrior, all) {
		m.cutOffPrior = append(m.cutOffPrior, all)
	}
	return true
}

// beingFenced reports whether a server gets fencing calls.
func (m *Machine) beingFenced(server model.Incarnation) bool {
	for keys := range m.fencing {
		if keys.Incarnation == server {
			return true
		}
	}
	return m.page != nil && m.page.unfenced(server)
}

// fencingInFlight reports whether a fencing call to a server is in flight. It could take
// away a grant that is sent meanwhile.
func (m *Machine) fencingInFlight(server model.Incarnation) bool {
	for keys, row := range m.fencing {
		if keys.Incarnation == server && row.inFlight {
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
				m.released[key] = releaseResult{done: true, ended: ended}
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
	call.From, call.To, call.Fence, call.Server, call.Held = keys.From, keys.To, fence, keys.ID, row.first
	m.sentReleases = append(m.sentReleases, sentRelease{call: call})
	m.ready.Releases = append(m.ready.Releases, call)
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
	switch {
	case outcome == Released:
		row.done = true
		m.noteReleased(keys, false)
		m.row(keys.Incarnation).releaseFailed = false
	case outcome == HolderEnded:
		row.done = true
		if m.now >= m.predecessorBound() {
			m.noteReleased(keys, true) // Before, a later life may still get a grant.
		}
	case outcome == ReleaseNoListener || m.now >= row.since+eagerFencingTime:
		row.dueAt = m.now + fencingPause
	}
}
