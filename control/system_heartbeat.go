package control

import (
	"slices"
	"strings"
)

// standbys is the number of VMs that watch each server's grantor.
const standbys = 2

// heartbeatTargets returns the VMs that are next to hold this VM's terms, sorted.
func (m *Machine) heartbeatTargets() []string {
	var targets []string
	for _, s := range m.services {
		for _, sv := range s.mine {
			if !m.holds(s, sv) {
				continue
			}
			candidates := m.members.candidates(sv.config, m.options.Self)
			for _, next := range candidates[:min(standbys, len(candidates))] {
				targets = append(targets, next.member.Name)
			}
		}
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

func containsSorted(names []string, name string) bool {
	_, found := slices.BinarySearch(names, name)
	return found
}

func joinNames(names []string) string { return strings.Join(names, ",") }

func joinServers(servers []*server) string {
	names := make([]string, len(servers))
	for i, sv := range servers {
		names[i] = sv.name
	}
	return joinNames(names)
}
