package config

import "fmt"

// checkTransition reports changes that a running fleet can't carry out without
// breaking a promise. docs/design/configuration.md gives the reasons.
func (d *decoder) checkTransition(before, after *Configuration) {
	for i, service := range after.Services {
		old, known := before.Service(service.Name)
		if known {
			d.checkServiceTransition(old, service, fmt.Sprintf("services[%d]", i))
		}
	}
	for i, server := range after.Servers {
		old, known := before.Server(server.Name)
		if known {
			d.checkServerTransition(old, server, fmt.Sprintf("servers[%d]", i))
		}
	}
	d.checkRemovals(before, after)
}

// checkServiceTransition keeps the map from keys to shards as it is.
func (d *decoder) checkServiceTransition(before, after Service, path string) {
	if before.DividedByKey != after.DividedByKey {
		d.fault(path+".divided_by_key", "can't change in force; declare a new service")
		return
	}
	if before.Shards != after.Shards {
		d.fault(path+".shards", "can't change in force (%d); declare a new service", before.Shards)
	}
}

// checkServerTransition keeps the identity of a server that may own keys.
func (d *decoder) checkServerTransition(before, after Server, path string) {
	if before.Service != after.Service {
		d.fault(path+".service", "can't change in force (%q); declare a server of another name", before.Service)
	}
	if before.Draining && after.Draining {
		return
	}
	if before.Address != after.Address {
		d.fault(path+".address", "can change only while the server drains (%s in force)", before.Address)
	}
	if before.ChecksGrants != after.ChecksGrants {
		d.fault(path+".checks_grants", "can change only while the server drains (%t in force)", before.ChecksGrants)
	}
}

// checkRemovals reports servers that vanish while they may own keys.
func (d *decoder) checkRemovals(before, after *Configuration) {
	for _, server := range before.Servers {
		service, _ := after.Service(server.Service)
		_, kept := after.Server(server.Name)
		if kept || !service.DividedByKey || server.Draining || before.lostServer(server) {
			continue
		}
		d.fault("servers", "server %q of %q is removed but was not draining; drain it first", server.Name, server.Service)
	}
}

// lostServer reports whether a server, its zone or its region is declared lost.
func (c *Configuration) lostServer(server Server) bool {
	for _, lost := range c.Lost {
		switch {
		case lost.Kind == LostServer && lost.Name == server.Name:
			return true
		case lost.Kind == LostZone && lost.Name == server.Zone:
			return true
		case lost.Kind == LostRegion && lost.Name == server.Region:
			return true
		}
	}
	return false
}
