package control

import (
	"slices"
	"strings"
	"time"
)

// standbys is the number of VMs that monitor the grantor of each server.
const standbys = 2

// runHeartbeats sends heartbeats to the VMs that are next in line for each of
// this VM's terms.
func (m *Machine) runHeartbeats() {
	if m.now-m.members.heartbeatAt < heartbeatInterval && m.members.heartbeatAt != 0 {
		return
	}
	m.members.heartbeatAt = max(m.now, time.Nanosecond)
	targets := m.members.heartbeatTargets
	if m.now-m.members.targetsChosenAt >= targetsInterval {
		m.members.targetsChosenAt = m.now
		targets = m.heartbeatTargets()
	}
	for _, former := range m.members.heartbeatTargets {
		if !containsSorted(targets, former) {
			m.send(former, Message{Heartbeat: &Heartbeat{Final: true}})
		}
	}
	for _, target := range targets {
		m.send(target, Message{Heartbeat: &Heartbeat{}})
	}
	m.members.heartbeatTargets = targets
}

// heartbeatTargets returns the VMs that are next in line for this VM's terms,
// sorted by name.
func (m *Machine) heartbeatTargets() []string {
	var targets []string
	for _, s := range m.services {
		for _, sv := range s.heldServers {
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

func joinServerNames(servers []*server) string {
	names := make([]string, len(servers))
	for i, sv := range servers {
		names[i] = sv.name
	}
	return joinNames(names)
}
