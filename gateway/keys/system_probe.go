package keys

// runProbes asks servers that may be others by now who they are.
func (m *Machine) runProbes() {
	for incarnation, row := range m.servers {
		if !row.unconfirmed || !row.listed || row.Draining || row.probing || row.identifiedAt != 0 || m.now < row.nextProbeAt {
			continue
		}
		row.probing, row.probedAt, row.nextProbeAt = true, m.now, m.now+probeInterval
		m.ready.Probes = append(m.ready.Probes, ProbeCall{incarnation, row.Address})
	}
}
