package keys

// A page records the size of the fleet. A leader that has just started, as after the loss of
// all daemons, learns from it how many must report until earlier leaders have lost their
// majority.

const (
	// fleetGrowthPercent is the growth of the fleet beyond the recorded size after which a
	// page is written for it. If the size in a page is at least three quarters of the
	// fleet's, the daemons that are left when two thirds of it report to a new leader are no
	// majority of the fleet.
	fleetGrowthPercent = 25
)

// SetFleet takes the number of daemons that this leader knows. complete reports that it has
// led for so long that others count as lost.
func (m *Machine) SetFleet(daemons int, complete bool) { m.fleet, m.fleetComplete = daemons, complete }

// fleetSize returns the size of the fleet for the next page. It does not become smaller than
// that of the present one before the leader knows all daemons.
func (m *Machine) fleetSize() int {
	if m.page == nil || m.fleetComplete && m.fleet > 0 {
		return m.fleet
	}
	return max(m.fleet, m.page.Fleet)
}

// fleetOutgrown reports whether the fleet has grown so much that the page has to be written
// for it.
func (m *Machine) fleetOutgrown() bool {
	return m.page != nil && 100*m.fleet > (100+fleetGrowthPercent)*m.page.Fleet
}

// recordFleet records the size of the fleet in the draft.
func (b *pageBuilder) recordFleet() {
	b.page.Fleet = b.fleetSize()
	b.changed = b.changed || b.fleetOutgrown()
}
