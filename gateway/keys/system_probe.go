package keys

// runProbes asks unconfirmed servers for their ID.
func (m *Machine) runProbes() {
	for incarnation, row := range m.servers {
		if row.listed && !row.unconfirmed && m.unreachable(row) {
			row.markUnconfirmed(m.now)
		}
		if !row.unconfirmed || !row.listed || row.Draining || row.probing || m.now < row.nextProbeAt {
			continue
		}
		row.probing, row.nextProbeAt = true, m.now+probeInterval
		m.ready.Probes = append(m.ready.Probes, ProbeCall{incarnation, row.Address})
	}
}
