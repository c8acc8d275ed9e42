package keys

// runProbes asks unconfirmed servers for their ID.
func (m *Machine) runProbes() {
	for incarnation, row := range m.servers {
		if row.listed && !row.unconfirmed && m.unreachable(row) {
			row.markUnconfirmed(m.now) // It gets no more grants, so that only a probe shows whether it answers again.
		}
		if !row.unconfirmed || !row.listed || row.Draining || row.probing || row.confirmedAt != 0 || m.now < row.nextProbeAt {
			continue
		}
		row.probing, row.probedAt, row.nextProbeAt = true, m.now, m.now+probeInterval
		m.ready.Probes = append(m.ready.Probes, ProbeCall{incarnation, row.Address})
	}
}
