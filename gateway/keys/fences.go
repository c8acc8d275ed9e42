package keys

// A call goes to an address. Between two calls the server's process may end and another
// one start there, even under the same ID and before the list shows it. What ends with the
// process is its connections. So a fence is sent for a key on one connection only: after
// the end of the connection the key is granted with a higher fence, on another one. The
// page reserves the fences, so that this needs no write.

// fenceReserve is the number of fences that a page reserves beyond those taken.
const fenceReserve = 1 << 16

// takeFence returns a fence above all that were ever sent, or false if none is reserved.
func (m *Machine) takeFence() (uint64, bool) {
	if m.page == nil || m.lastFence >= m.page.Fence {
		return 0, false
	}
	m.lastFence++
	return m.lastFence, true
}

// passFences takes no fence that an earlier leader may have taken by the page.
func (m *Machine) passFences() {
	if !m.adopted && m.page != nil {
		m.lastFence = max(m.lastFence, m.page.Fence)
	}
}

// fencesLow reports whether the page has to reserve more fences.
func (m *Machine) fencesLow() bool { return m.page.Fence < m.lastFence+fenceReserve/2 }

// reserveFences extends the fences that the draft reserves.
func (b *pageBuilder) reserveFences() {
	if b.changed || b.Machine.page != nil && b.fencesLow() {
		b.page.Fence = max(b.page.Fence, b.lastFence+fenceReserve)
		b.changed = true
	}
}

// sentFence returns the fence with which the owner of a range was granted it last.
func (m *Machine) sentFence(r Range) uint64 {
	row := m.servers[r.Owner.Incarnation]
	if row == nil {
		return r.Owner.Fence
	}
	grant, _ := row.grantOf(r)
	return max(grant.fence, r.Owner.Fence)
}
