package daemon

import (
	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/fleet"
	"guavacrank.example/traffic/route"
)

// buildSnapshot combines the configuration, the control plane's routing and the
// members into the snapshot that the request path reads.
func buildSnapshot(self string, revision config.Revision, configuration *config.Configuration, routing control.Routing, members []fleet.Member) *route.Snapshot {
	snapshot := &route.Snapshot{
		Revision: revision,
		Self:     self,
		Services: make(map[string]*route.Service, len(configuration.Services)),
	}
	addMembers(snapshot, members)
	routings := make(map[string]*control.ServiceRouting, len(routing.Services))
	for i := range routing.Services {
		routings[routing.Services[i].Name] = &routing.Services[i]
	}
	for _, service := range configuration.Services {
		snapshot.Services[service.Name] = buildService(configuration, service, routings[service.Name])
	}
	return snapshot
}

// addMembers adds the VMs that are alive. A leaving VM has no entry in Places, so
// that the request path does not choose it as the VM that queues requests for a
// server.
func addMembers(snapshot *route.Snapshot, members []fleet.Member) {
	snapshot.Peers = make(map[string]string, len(members))
	snapshot.Locations = make(map[string]route.Location, len(members))
	for _, member := range members {
		if !member.Alive && member.Name != snapshot.Self {
			continue
		}
		snapshot.Peers[member.Name] = member.Peer
		if !member.Leaving {
			snapshot.Locations[member.Name] = route.Location{Region: member.Region, Zone: member.Zone}
		}
	}
}

func buildService(configuration *config.Configuration, service config.Service, routing *control.ServiceRouting) *route.Service {
	built := &route.Service{
		Name:          service.Name,
		DividedByKey:  service.DividedByKey,
		Shards:        uint32(service.Shards),
		Classes:       make(map[string]config.Class, len(service.Classes)),
		Overrides:     make(map[string]route.Unit),
		Settings:      configuration.SettingsFor(service.Name, "", ""),
		ClassSettings: make(map[string]config.Defaults),
	}
	for i, class := range service.Classes {
		if i == 0 {
			built.DefaultClass = class.Name
		}
		built.Classes[class.Name] = class
		if override := configuration.SettingsFor(service.Name, class.Name, ""); override != built.Settings {
			built.ClassSettings[class.Name] = override
		}
	}
	for _, server := range configuration.Servers {
		if server.Service == service.Name {
			built.Servers = append(built.Servers, buildServer(configuration, server, built.Settings))
		}
	}
	sortServers(built.Servers)
	if routing != nil {
		addOwnership(built, routing)
	}
	return built
}

func buildServer(configuration *config.Configuration, server config.Server, serviceSettings config.Defaults) *route.Server {
	built := &route.Server{
		Name:         server.Name,
		Address:      server.Address,
		Region:       server.Region,
		Zone:         server.Zone,
		Slots:        server.Slots,
		Connections:  server.Connections,
		ChecksGrants: server.ChecksGrants,
		Draining:     server.Draining,
	}
	if override := configuration.SettingsFor(server.Service, "", server.Name); override != serviceSettings {
		built.Settings = &override
	}
	return built
}

// addOwnership adds the home VMs of the servers, the units and the key overrides
// of a service divided by key.
func addOwnership(built *route.Service, routing *control.ServiceRouting) {
	built.PageVersion = routing.PageVersion
	for _, server := range routing.Servers {
		if found := built.Server(server.Name); found != nil {
			found.Home = server.Home
			found.HomeUntil = server.HomeUntil
		}
	}
	units := make(map[uint32]route.Unit, len(routing.Units))
	for _, unit := range routing.Units {
		routed := route.Unit{ID: uint32(unit.ID), Epoch: uint64(unit.Epoch)}
		if unit.Servable {
			routed.Server = built.Server(unit.Owner)
		}
		units[routed.ID] = routed
		if uint32(unit.ID) < routing.Shards {
			built.Units = append(built.Units, routed)
		}
	}
	if routing.Shards != 0 {
		built.Shards = routing.Shards
	}
	for _, override := range routing.Overrides {
		if unit, known := units[uint32(override.Unit)]; known {
			built.Overrides[override.Key] = unit
		}
	}
}
