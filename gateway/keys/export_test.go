package keys

// Calls returns the number of grant calls that the machine counts as under way.
func (m *Machine) Calls() int { return m.calls }
