package keys

// Calls returns the number of grant calls that the machine counts as in flight.
func (m *Machine) Calls() int { return m.calls }
