package config

import (
	"fmt"
	"slices"
)

// check reports the faults between the parts of a configuration.
func (d *decoder) check(configuration *Configuration) {
	d.checkServices(configuration)
	d.checkServers(configuration)
	d.checkZones(configuration.Servers)
	d.checkKeys(configuration)
	d.checkLost(configuration)
	d.checkExceptions(configuration)
	d.checkGrants("defaults", configuration.Defaults)
}

// unique reports a name that stands at two places.
func (d *decoder) unique(first map[string]string, name, path string) {
	earlier, repeated := first[name]
	if repeated {
		d.fault(path, "%q is already given at %s (line %d)", name, earlier, d.line(earlier))
		return
	}
	first[name] = path
}

func (d *decoder) checkServices(configuration *Configuration) {
	if len(configuration.Services) == 0 {
		d.fault("services", "holds no service")
	}
	names := make(map[string]string)
	for i, service := range configuration.Services {
		path := fmt.Sprintf("services[%d]", i)
		d.unique(names, service.Name, path+".name")
		d.checkClasses(service, path)
		d.checkDivision(service, path)
		d.checkServing(configuration, service, path)
	}
}

func (d *decoder) checkClasses(service Service, path string) {
	if len(service.Classes) == 0 {
		d.fault(path+".classes", "holds no class")
	}
	names := make(map[string]string)
	for i, class := range service.Classes {
		d.unique(names, class.Name, fmt.Sprintf("%s.classes[%d].name", path, i))
	}
}

func (d *decoder) checkDivision(service Service, path string) {
	switch {
	case service.DividedByKey && service.Shards == 0:
		d.fault(path+".shards", "is missing; a service divided by key needs it")
	case !service.DividedByKey && service.Shards != 0:
		d.fault(path+".shards", "is only for a service with divided_by_key: true")
	case !service.DividedByKey && len(service.Keys) != 0:
		d.fault(path+".keys", "is only for a service with divided_by_key: true")
	}
	if len(service.Keys) > MaxDeclaredKeys {
		d.fault(path+".keys", "holds %d keys, more than %d", len(service.Keys), MaxDeclaredKeys)
	}
}

// checkServing reports a service that no server would serve.
func (d *decoder) checkServing(configuration *Configuration, service Service, path string) {
	serving := func(server Server) bool { return server.Service == service.Name && !server.Draining }
	if !slices.ContainsFunc(configuration.Servers, serving) {
		d.fault(path+".name", "service %q has no server that is not draining", service.Name)
	}
}

func (d *decoder) checkServers(configuration *Configuration) {
	names := make(map[string]string)
	addresses := make(map[string]string)
	for i, server := range configuration.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		d.unique(names, server.Name, path+".name")
		d.unique(addresses, server.Address, path+".address")
		if _, known := configuration.Service(server.Service); !known {
			d.fault(path+".service", "service %q is not declared", server.Service)
		}
		if server.Connections < server.Slots {
			d.fault(path+".connections", "%d is below slots (%d)", server.Connections, server.Slots)
		}
	}
}

// checkZones reports an availability zone that stands in two regions.
func (d *decoder) checkZones(servers []Server) {
	regions := make(map[string]string)
	for i, server := range servers {
		region, known := regions[server.Zone]
		if known && region != server.Region {
			d.fault(fmt.Sprintf("servers[%d].zone", i), "availability zone %q is in region %q elsewhere in the file", server.Zone, region)
		}
		regions[server.Zone] = server.Region
	}
}

func (d *decoder) checkKeys(configuration *Configuration) {
	for i, service := range configuration.Services {
		keys := make(map[string]string)
		for j, declaration := range service.Keys {
			path := fmt.Sprintf("services[%d].keys[%d]", i, j)
			d.unique(keys, declaration.Key, path+".key")
			d.checkKeyServer(configuration, service, declaration, path+".server")
		}
	}
}

func (d *decoder) checkKeyServer(configuration *Configuration, service Service, declaration KeyDeclaration, path string) {
	server, known := configuration.Server(declaration.Server)
	switch {
	case !known:
		d.fault(path, "server %q is not declared", declaration.Server)
	case server.Service != service.Name:
		d.fault(path, "server %q serves %q, not %q", server.Name, server.Service, service.Name)
	}
}

func (d *decoder) checkLost(configuration *Configuration) {
	names := make(map[string]string)
	for i, lost := range configuration.Lost {
		path := fmt.Sprintf("lost[%d].name", i)
		d.unique(names, string(lost.Kind)+" "+lost.Name, path)
		if !configuration.knows(lost.Kind, lost.Name) {
			d.fault(path, "%s %q is not declared", lost.Kind, lost.Name)
		}
	}
}

// knows reports whether a thing that is declared lost stands in the
// configuration. VMs never do: the platform lists them.
func (c *Configuration) knows(kind LostKind, name string) bool {
	return kind == LostVM || slices.ContainsFunc(c.Servers, func(server Server) bool {
		switch kind {
		case LostServer:
			return server.Name == name
		case LostZone:
			return server.Zone == name
		default:
			return server.Region == name
		}
	})
}

func (d *decoder) checkExceptions(configuration *Configuration) {
	assigned := make(map[string]string)
	for i, exception := range configuration.Exceptions {
		path := fmt.Sprintf("exceptions[%d]", i)
		d.checkSelector(configuration, exception, path)
		if len(exception.Set) == 0 {
			d.fault(path+".set", "sets nothing")
		}
		for _, assignment := range exception.Set {
			at := path + ".set." + string(assignment.Field)
			d.unique(assigned, exception.Selector()+" "+string(assignment.Field), at)
			d.checkScope(exception, assignment, at)
		}
	}
}

// checkSelector reports an exception for something that is not declared.
func (d *decoder) checkSelector(configuration *Configuration, exception Exception, path string) {
	if exception.Service == "" && exception.Server == "" {
		d.fault(path, "names no service and no server")
		return
	}
	if exception.Class != "" && exception.Server != "" {
		d.fault(path+".class", "an exception is for a class or for a server, not for both")
	}
	service, known := configuration.Service(exception.Service)
	switch {
	case exception.Service != "" && !known:
		d.fault(path+".service", "service %q is not declared", exception.Service)
	case exception.Class != "" && exception.Service == "":
		d.fault(path+".class", "needs the service of the class")
	case exception.Class != "" && !service.hasClass(exception.Class):
		d.fault(path+".class", "service %q has no class %q", service.Name, exception.Class)
	}
	if exception.Server != "" {
		d.checkServerSelector(configuration, exception, path+".server")
	}
}

func (d *decoder) checkServerSelector(configuration *Configuration, exception Exception, path string) {
	server, known := configuration.Server(exception.Server)
	switch {
	case !known:
		d.fault(path, "server %q is not declared", exception.Server)
	case exception.Service != "" && server.Service != exception.Service:
		d.fault(path, "server %q serves %q, not %q", server.Name, server.Service, exception.Service)
	case !configuration.divided(server.Service):
		d.fault(path, "%q is not divided by key, so its servers share their queues; set it for the service", server.Service)
	}
}

// checkScope reports a field that has no effect for the exception's selector.
func (d *decoder) checkScope(exception Exception, assignment Assignment, path string) {
	definition, _ := LookupField(assignment.Field)
	if definition.Scopes&exception.scope() == 0 {
		d.fault(path, "can't be set for %s, only %s", exception.Selector(), definition.Scopes)
	}
}

// checkGrants reports a renewal that is too slow for the life of a grant.
func (d *decoder) checkGrants(path string, defaults Defaults) {
	if defaults.GrantTimeToLive < RenewalsPerGrant*defaults.RenewInterval {
		d.fault(path, "grant_time_to_live (%s) is below %d times renew_interval (%s)",
			defaults.GrantTimeToLive, RenewalsPerGrant, defaults.RenewInterval)
	}
}

// checkSettings reports the faults between the parts of settings.
func (d *decoder) checkSettings(settings *Settings) {
	d.checkToken("operator_token", settings.OperatorToken)
	d.checkToken("peer_token", settings.PeerToken)
	addresses := make(map[string]string)
	d.unique(addresses, settings.CallerAddress, "caller_address")
	d.unique(addresses, settings.PeerAddress, "peer_address")
	d.unique(addresses, settings.OperatorAddress, "operator_address")
	d.unique(addresses, settings.PlatformAddress, "platform_address")
}

// checkToken reports a shared secret that is too short.
func (d *decoder) checkToken(field, token string) {
	if len(token) < MinTokenBytes {
		d.fault(field, "has %d bytes, fewer than %d", len(token), MinTokenBytes)
	}
}
