package daemon

import (
	"context"
	"fmt"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/daemon/eventlog"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/fleet"
	"guavacrank.example/kvstore"
)

// explainTimeout bounds the wait for the control goroutine.
const explainTimeout = time.Second

// source provides the state of the daemon to the operator interface.
type source struct {
	daemon *Daemon
}

// Status implements operator.Source.
func (s *source) Status() operator.Status {
	d := s.daemon
	settings := d.options.Settings
	fleetStatus := d.fleet.FleetStatus()
	status := operator.Status{
		VM:            settings.VM,
		Region:        settings.Region,
		Zone:          settings.Zone,
		Ready:         d.Ready(),
		Stopping:      d.stopping.Load(),
		FleetRevision: config.Revision(fleetStatus.Revision),
		InForce:       fleetStatus.InForce,
		VMCount:       fleetStatus.Total,
		StoreAnswers:  true,
	}
	status.VMs = vmStatuses(d.fleet.Members(), fleetStatus)
	active := d.active.Load()
	if active == nil {
		return status
	}
	status.Revision = active.revision
	controlStatuses := serviceStatuses(d.status.Load())
	for _, service := range active.configuration.Services {
		status.Services = append(status.Services, d.serviceStatus(service, controlStatuses[service.Name]))
	}
	for _, server := range active.configuration.Servers {
		status.Servers = append(status.Servers, serverStatus(server, controlStatuses[server.Service]))
	}
	for _, service := range controlStatuses {
		status.StoreAnswers = status.StoreAnswers && !service.StoreSilent
	}
	return status
}

func vmStatuses(members []fleet.Member, fleetStatus fleet.Status) []operator.VMStatus {
	lagging := make(map[string]uint64, len(fleetStatus.Lagging))
	for _, vm := range fleetStatus.Lagging {
		lagging[vm.Name] = vm.Revision
	}
	statuses := make([]operator.VMStatus, 0, len(members))
	for _, member := range members {
		revision, lags := lagging[member.Name]
		if !lags {
			revision = fleetStatus.Revision
		}
		statuses = append(statuses, operator.VMStatus{
			Name:     member.Name,
			Region:   member.Region,
			Zone:     member.Zone,
			Alive:    member.Alive,
			Leaving:  member.Leaving,
			Revision: config.Revision(revision),
		})
	}
	return statuses
}

func serviceStatuses(status *control.Status) map[string]*control.ServiceStatus {
	byName := make(map[string]*control.ServiceStatus, len(status.Services))
	for i := range status.Services {
		byName[status.Services[i].Name] = &status.Services[i]
	}
	return byName
}

func (d *Daemon) serviceStatus(service config.Service, controlStatus *control.ServiceStatus) operator.ServiceStatus {
	status := operator.ServiceStatus{Name: service.Name, DividedByKey: service.DividedByKey}
	if controlStatus != nil {
		status.Units = controlStatus.Units
		status.Waiting = controlStatus.Moving
		if holder, known := d.fleet.Document(kvstore.RolePrefix + control.PlannerRole(service.Name)); known {
			status.Planner = string(holder.Value)
		}
	}
	return status
}

func serverStatus(server config.Server, controlStatus *control.ServiceStatus) operator.ServerStatus {
	status := operator.ServerStatus{
		Name:         server.Name,
		Service:      server.Service,
		Region:       server.Region,
		Zone:         server.Zone,
		Address:      server.Address,
		Draining:     server.Draining,
		ChecksGrants: server.ChecksGrants,
	}
	if controlStatus == nil {
		return status
	}
	for _, known := range controlStatus.Servers {
		if known.Name == server.Name {
			status.Units = known.Units
			status.Grantor = known.Grantor
			status.Term = uint64(known.Term)
		}
	}
	return status
}

// Owners implements operator.Source.
func (s *source) Owners(service string) (operator.Owners, bool) {
	active := s.daemon.active.Load()
	if active == nil {
		return operator.Owners{}, false
	}
	declared, known := active.configuration.Service(service)
	if !known {
		return operator.Owners{}, false
	}
	owners := operator.Owners{Service: service, DividedByKey: declared.DividedByKey}
	routing := s.daemon.routing.Load()
	for i := range routing.Services {
		if routing.Services[i].Name == service {
			addOwners(&owners, &routing.Services[i])
		}
	}
	return owners, true
}

func addOwners(owners *operator.Owners, routing *control.ServiceRouting) {
	owners.PageVersion = routing.PageVersion
	servers := make(map[string]control.ServerRouting, len(routing.Servers))
	for _, server := range routing.Servers {
		servers[server.Name] = server
	}
	for _, unit := range routing.Units {
		owner := operator.Owner{
			Unit:     uint32(unit.ID),
			Server:   unit.Owner,
			Epoch:    uint64(unit.Epoch),
			Servable: unit.Servable,
			Grantor:  servers[unit.Owner].Home,
			Term:     uint64(servers[unit.Owner].Term),
		}
		for _, override := range routing.Overrides {
			if override.Unit == unit.ID {
				owner.Key = override.Key
				owner.Declared = override.Declared
			}
		}
		owners.Units = append(owners.Units, owner)
	}
}

// Explain implements operator.Source.
func (s *source) Explain(service, key string) (operator.Explanation, bool) {
	active := s.daemon.active.Load()
	if active == nil {
		return operator.Explanation{}, false
	}
	declared, known := active.configuration.Service(service)
	if !known {
		return operator.Explanation{}, false
	}
	explanation := operator.Explanation{Service: service, Key: key, DividedByKey: declared.DividedByKey}
	if !declared.DividedByKey {
		explanation.Cause = "the service is not divided by key: any of its servers may answer"
		return explanation, true
	}
	ctx, cancel := context.WithTimeout(s.daemon.killed, explainTimeout)
	defer cancel()
	var found control.Explanation
	if !s.daemon.loop.runInspection(ctx, func(m *control.Machine) { found = m.Explain(service, key) }) {
		explanation.Cause = "the control goroutine did not answer in time"
		return explanation, true
	}
	addExplanation(&explanation, found, active.configuration)
	return explanation, true
}

func addExplanation(explanation *operator.Explanation, found control.Explanation, configuration *config.Configuration) {
	if !found.Known {
		explanation.Cause = "no ownership page of the service is known yet"
		return
	}
	explanation.PageVersion = found.PageVersion
	explanation.Owner = operator.Owner{
		Unit:     uint32(found.Unit),
		Server:   found.Owner,
		Epoch:    uint64(found.Epoch),
		Servable: found.Servable,
		Grantor:  found.Grantor,
		Term:     uint64(found.Term),
		Declared: found.Declared,
	}
	if found.Isolated {
		explanation.Owner.Key = found.Key
	}
	if server, known := configuration.Server(found.Owner); known {
		explanation.Address = server.Address
		explanation.ChecksGrants = server.ChecksGrants
	}
	explanation.Cause = causeOf(found)
	if count := len(found.Changes); count > 0 {
		explanation.ChangedBy = found.Changes[count-1].ChangedBy
		explanation.PageCause = found.Changes[count-1].Cause
	}
}

// causeOf describes why the key has its current owner.
func causeOf(found control.Explanation) string {
	cause := fmt.Sprintf("the key hashes to shard %d", found.Unit)
	if found.Isolated {
		cause = "the key was taken out of its shard because of its load"
	}
	if found.Declared {
		cause = "an operator pinned the key to its server"
	}
	if found.UnsatisfiedReason != "" {
		cause += "; the declaration can't be satisfied: " + found.UnsatisfiedReason
	}
	if found.WaitsFor != "" {
		cause += "; waits until " + found.WaitsFor + " has stopped serving it"
	}
	return cause
}

// Events implements operator.Source.
func (s *source) Events(from uint64, limit int) []operator.LoggedEvent {
	kept := s.daemon.events.Since(from, limit)
	logged := make([]operator.LoggedEvent, 0, len(kept))
	for _, entry := range kept {
		logged = append(logged, loggedEvent(entry))
	}
	return logged
}

func loggedEvent(entry eventlog.Entry) operator.LoggedEvent {
	return operator.LoggedEvent{
		Cursor: entry.Cursor,
		Time:   entry.Time,
		Number: entry.Event.Number,
		Cause:  entry.Event.Cause,
		Fields: entry.Event.Fields,
	}
}

// NextEvent implements operator.Source.
func (s *source) NextEvent() uint64 { return s.daemon.events.Next() }

// Configuration implements operator.Source.
func (s *source) Configuration() (config.Revision, *config.Configuration) {
	active := s.daemon.active.Load()
	if active == nil {
		return 0, nil
	}
	return active.revision, active.configuration
}
