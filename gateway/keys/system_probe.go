package keys

// runProbes asks servers that may be others by now who they are.
func (m *Machine) runProbes() {
	for life, row := range m.servers {
		if !row.unsure || !row.listed || row.Draining || row.probing || row.namedAt != 0 || m.now < row.probeAt {
			continue
		}
		row.probing, row.probedAt, row.probeAt = true, m.now, m.now+probeEvery
		m.ready.Probes = append(m.ready.Probes, ProbeCall{life, row.Address})
	}
}
