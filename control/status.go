package control

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// Status is the state of this VM's control plane as shown to an operator.
type Status struct {
	Self     string          `json:"self"`
	Revision config.Revision `json:"revision"`
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus is the ownership of one service as this VM sees it.
type ServiceStatus struct {
	Name        string `json:"name"`
	PageVersion uint64 `json:"page_version"`
	Planner     bool   `json:"planner"` // This VM plans for the service.
	// Confirmed is set if the page was read from the store since the last
	// pause.
	Confirmed    bool           `json:"confirmed"`
	StoreSilent  bool           `json:"store_silent"`
	WritePending bool           `json:"write_pending"` // The outcome of a page write is unresolved.
	Fault        string         `json:"fault,omitempty"`
	LastChange   string         `json:"last_change"`
	ChangedBy    string         `json:"changed_by"`
	Units        int            `json:"units"`
	Overrides    int            `json:"overrides"`
	Moving       int            `json:"moving"` // Units whose previous owner has not yet stopped.
	Servers      []ServerStatus `json:"servers"`
	// Unsatisfied lists the declared keys that can't be pinned; set only on the
	// planner's VM.
	Unsatisfied []UnsatisfiedKey `json:"unsatisfied,omitempty"`
}

// ServerStatus is one backend server as this VM sees it.
type ServerStatus struct {
	Name           string         `json:"name"`
	Grantor        string         `json:"grantor"`
	Term           ownership.Term `json:"term"`
	Units          int            `json:"units"`
	ChecksGrants   bool           `json:"checks_grants"`
	Draining       bool           `json:"draining"`
	Down           bool           `json:"down"`
	FormerGrantors []string       `json:"former,omitempty"`
	// Held is set if this VM is the grantor; the fields below are known only to
	// it.
	Held            bool          `json:"held"`
	SilentFor       time.Duration `json:"silent_ns,omitempty"`
	BothUnreachable bool          `json:"both_out_of_reach,omitempty"`
	GrantsEndIn     time.Duration `json:"grants_end_in_ns,omitempty"`
}

// UnsatisfiedKey is a declared key that can't be pinned to its server, and the
// reason.
type UnsatisfiedKey struct {
	Key    string `json:"key"`
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// Status returns the current state.
func (m *Machine) Status() Status {
	status := Status{Self: m.options.Self, Revision: m.revision}
	for _, s := range m.services {
		status.Services = append(status.Services, m.serviceStatus(s))
	}
	return status
}

func (m *Machine) serviceStatus(s *service) ServiceStatus {
	status := ServiceStatus{
		Name: s.name, PageVersion: s.version, Planner: s.isPlanner,
		Confirmed: s.confirmedSince(m.resumedAt), StoreSilent: s.readFails > 0,
		WritePending: s.pending != nil, Fault: s.pageError,
		LastChange: s.page.Cause, ChangedBy: s.page.ChangedBy,
		Units: len(s.page.Units), Overrides: len(s.page.Overrides),
	}
	for _, ids := range s.movingFrom {
		status.Moving += len(ids)
	}
	for _, sv := range s.servers {
		status.Servers = append(status.Servers, m.serverStatus(s, sv))
	}
	for _, declared := range s.config.Keys {
		if reason := s.plan.unsatisfied[declared.Key]; reason != "" && s.isPlanner {
			status.Unsatisfied = append(status.Unsatisfied, UnsatisfiedKey{declared.Key, declared.Server, reason})
		}
	}
	return status
}

func (m *Machine) serverStatus(s *service, sv *server) ServerStatus {
	status := ServerStatus{
		Name: sv.name, Units: len(s.owned[sv.name]),
		ChecksGrants: sv.config.ChecksGrants, Draining: sv.config.Draining,
	}
	entry := s.entry(sv)
	if entry == nil {
		return status
	}
	status.Grantor = entry.Grantor
	status.Term = entry.Term
	status.Down = entry.Down
	status.FormerGrantors = entry.FormerGrantors
	if !m.holds(s, sv) {
		return status
	}
	status.Held = true
	status.BothUnreachable = sv.bothUnreachableReported
	status.GrantsEndIn = max(0, sv.grantsExpireAt-m.now)
	if sv.answered {
		status.SilentFor = m.now - sv.lastAnswer
	}
	return status
}

// Explanation tells who owns a key, and why.
type Explanation struct {
	Service           string            `json:"service"`
	Key               string            `json:"key"`
	Known             bool              `json:"known"` // False if no page of the service is known.
	Unit              ownership.UnitID  `json:"unit"`
	Isolated          bool              `json:"isolated"` // The key has a unit of its own outside its shard.
	Declared          bool              `json:"declared"` // An operator pinned the key.
	UnsatisfiedReason string            `json:"unsatisfied,omitempty"`
	Owner             string            `json:"owner"`
	Epoch             ownership.Epoch   `json:"epoch"`
	WaitsFor          string            `json:"waits_for,omitempty"` // Previous owner that has not yet stopped.
	Servable          bool              `json:"servable"`
	Grantor           string            `json:"grantor"`
	Term              ownership.Term    `json:"term"`
	PageVersion       uint64            `json:"page_version"`
	Changes           []OwnershipChange `json:"changes,omitempty"` // Newest last.
}

// OwnershipChange is one change of a unit's owner that this VM observed.
type OwnershipChange struct {
	Version   uint64          `json:"page_version"`
	Owner     string          `json:"owner"`
	Epoch     ownership.Epoch `json:"epoch"`
	ChangedBy string          `json:"by"`
	Cause     string          `json:"cause"`
	Age       time.Duration   `json:"ago_ns"`
}

// Explain returns who owns a key, and why, to the best of this VM's knowledge.
func (m *Machine) Explain(serviceName, key string) Explanation {
	explanation := Explanation{Service: serviceName, Key: key}
	s := m.service(serviceName)
	if s == nil || s.version == 0 {
		return explanation
	}
	unit := s.page.UnitOf(key)
	entry := s.page.Server(unit.Owner)
	explanation.Known = true
	explanation.PageVersion = s.version
	explanation.Unit = unit.ID
	explanation.Owner = unit.Owner
	explanation.Epoch = unit.Epoch
	explanation.Servable = s.servable(*unit)
	explanation.Grantor = entry.Grantor
	explanation.Term = entry.Term
	if !explanation.Servable {
		explanation.WaitsFor = unit.Previous
	}
	if override := s.page.Override(key); override != nil {
		explanation.Isolated = true
		explanation.Declared = override.Declared
	}
	for _, declared := range s.config.Keys {
		if declared.Key == key {
			explanation.UnsatisfiedReason = m.unsatisfiedReason(s, declared)
		}
	}
	for _, change := range s.history {
		if change.unit == unit.ID {
			past := change.OwnershipChange
			past.Age = m.now - change.at
			explanation.Changes = append(explanation.Changes, past)
		}
	}
	return explanation
}
