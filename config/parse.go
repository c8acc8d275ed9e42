package config

import (
	"time"

	"gopkg.in/yaml.v3"
)

// ParseConfiguration reads a configuration. It returns every fault of the file
// at once, joined; each is an *Error.
func ParseConfiguration(file string, data []byte) (*Configuration, error) {
	return ParseChange(file, data, nil)
}

// ParseChange reads a configuration that is to replace the one in force, and
// reports also what a running fleet can't change at once. A nil inForce is none.
func ParseChange(file string, data []byte, inForce *Configuration) (*Configuration, error) {
	d := newDecoder(file)
	configuration := &Configuration{Defaults: DefaultDefaults()}
	d.document(data, []member{
		{name: "defaults", decode: d.defaults(&configuration.Defaults)},
		{name: "services", required: true, decode: appendTo(d, &configuration.Services, d.service)},
		{name: "servers", required: true, decode: appendTo(d, &configuration.Servers, d.server)},
		{name: "lost", decode: appendTo(d, &configuration.Lost, d.lost)},
		{name: "exceptions", decode: appendTo(d, &configuration.Exceptions, d.exception)},
	})
	if len(d.faults) == 0 {
		d.check(configuration)
	}
	if len(d.faults) == 0 && inForce != nil {
		d.checkTransition(inForce, configuration)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// ParseSettings reads the settings of one process. It returns every fault of
// the file at once, joined; each is an *Error.
func ParseSettings(file string, data []byte) (*Settings, error) {
	d := newDecoder(file)
	settings := DefaultSettings()
	d.document(data, []member{
		{name: "vm", required: true, decode: d.name(&settings.VM)},
		{name: "region", required: true, decode: d.name(&settings.Region)},
		{name: "zone", required: true, decode: d.name(&settings.Zone)},
		{name: "caller_address", required: true, decode: d.address(&settings.CallerAddress)},
		{name: "peer_address", required: true, decode: d.address(&settings.PeerAddress)},
		{name: "operator_address", required: true, decode: d.address(&settings.OperatorAddress)},
		{name: "operator_token", required: true, decode: d.text(&settings.OperatorToken, MaxReasonBytes)},
		{name: "peer_token", required: true, decode: d.text(&settings.PeerToken, MaxReasonBytes)},
		{name: "platform_address", required: true, decode: d.address(&settings.PlatformAddress)},
		{name: "limits", decode: d.limits(&settings.Limits)},
		{name: "log_level", decode: oneOf(d, &settings.LogLevel, LogDebug, LogInfo, LogWarn, LogError)},
	})
	if len(d.faults) == 0 {
		d.checkSettings(&settings)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

// appendTo decodes a list, one element by one call of decode.
func appendTo[T any](d *decoder, target *[]T, decode func(*T, *yaml.Node, string)) func(*yaml.Node, string) {
	return func(node *yaml.Node, path string) {
		d.list(node, path, func(item *yaml.Node, at string) {
			var element T
			decode(&element, item, at)
			*target = append(*target, element)
		})
	}
}

// defaults decodes the fields of Defaults.
func (d *decoder) defaults(target *Defaults) func(*yaml.Node, string) {
	members := make([]member, 0, len(fieldTable))
	for _, field := range fieldTable {
		set := func(value int64) { field.set(target, value) }
		members = append(members, member{name: string(field.Name), decode: d.value(field.Kind, field.Min, field.Max, set)})
	}
	return func(node *yaml.Node, path string) { d.mapping(node, path, members) }
}

func (d *decoder) service(service *Service, node *yaml.Node, path string) {
	d.mapping(node, path, []member{
		{name: "name", required: true, decode: d.name(&service.Name)},
		{name: "divided_by_key", decode: d.boolean(&service.DividedByKey)},
		{name: "shards", decode: d.count(&service.Shards, 1, MaxShards)},
		{name: "classes", required: true, decode: appendTo(d, &service.Classes, d.class)},
		{name: "keys", decode: appendTo(d, &service.Keys, d.key)},
	})
}

func (d *decoder) class(class *Class, node *yaml.Node, path string) {
	var priority string
	d.mapping(node, path, []member{
		{name: "name", required: true, decode: d.name(&class.Name)},
		{name: "idempotent", required: true, decode: d.boolean(&class.Idempotent)},
		{name: "priority", required: true, decode: oneOf(d, &priority, priorityNames[:]...)},
		{name: "deadline", required: true, decode: d.duration(&class.Deadline, MinDeadline, MaxDeadline)},
	})
	for i, name := range priorityNames {
		if name == priority {
			class.Priority = Priority(i)
		}
	}
}

func (d *decoder) key(key *KeyDeclaration, node *yaml.Node, path string) {
	d.mapping(node, path, []member{
		{name: "key", required: true, decode: d.text(&key.Key, MaxKeyBytes)},
		{name: "server", required: true, decode: d.name(&key.Server)},
	})
}

func (d *decoder) server(server *Server, node *yaml.Node, path string) {
	d.mapping(node, path, []member{
		{name: "name", required: true, decode: d.name(&server.Name)},
		{name: "service", required: true, decode: d.name(&server.Service)},
		{name: "address", required: true, decode: d.address(&server.Address)},
		{name: "region", required: true, decode: d.name(&server.Region)},
		{name: "zone", required: true, decode: d.name(&server.Zone)},
		{name: "slots", required: true, decode: d.count(&server.Slots, 1, MaxSlots)},
		{name: "connections", required: true, decode: d.count(&server.Connections, 1, MaxSlots)},
		{name: "checks_grants", required: true, decode: d.boolean(&server.ChecksGrants)},
		{name: "draining", decode: d.boolean(&server.Draining)},
	})
}

func (d *decoder) lost(lost *Lost, node *yaml.Node, path string) {
	d.mapping(node, path, []member{
		{name: "kind", required: true, decode: oneOf(d, &lost.Kind, LostServer, LostVM, LostZone, LostRegion)},
		{name: "name", required: true, decode: d.name(&lost.Name)},
		{name: "reason", required: true, decode: d.text(&lost.Reason, MaxReasonBytes)},
	})
}

func (d *decoder) exception(exception *Exception, node *yaml.Node, path string) {
	d.mapping(node, path, []member{
		{name: "service", decode: d.name(&exception.Service)},
		{name: "class", decode: d.name(&exception.Class)},
		{name: "server", decode: d.name(&exception.Server)},
		{name: "set", required: true, decode: d.assignments(&exception.Set)},
		{name: "reason", required: true, decode: d.text(&exception.Reason, MaxReasonBytes)},
		{name: "until", decode: d.date(&exception.Until)},
	})
}

// assignments decodes the fields that an exception sets.
func (d *decoder) assignments(target *[]Assignment) func(*yaml.Node, string) {
	members := make([]member, 0, len(fieldTable))
	for _, field := range fieldTable {
		set := func(value int64) { *target = append(*target, Assignment{Field: field.Name, Value: value}) }
		members = append(members, member{name: string(field.Name), decode: d.value(field.Kind, field.Min, field.Max, set)})
	}
	return func(node *yaml.Node, path string) { d.mapping(node, path, members) }
}

// Bounds of the limits of a process.
const (
	minLimitBytes   = 1 << 10
	maxLimitBytes   = 1 << 30
	maxConcurrent   = 1_000_000
	minLimitTimeout = 100 * time.Millisecond
	maxLimitTimeout = 10 * time.Minute
)

func (d *decoder) limits(limits *Limits) func(*yaml.Node, string) {
	setBody := func(value int64) { limits.MaxBodyBytes = value }
	setHeader := func(value int64) { limits.HeaderBytes = int(value) }
	members := []member{
		{name: "max_body", decode: d.value(KindBytes, minLimitBytes, maxLimitBytes, setBody)},
		{name: "concurrent_requests", decode: d.count(&limits.ConcurrentRequests, 1, maxConcurrent)},
		{name: "header_bytes", decode: d.value(KindBytes, minLimitBytes, maxLimitBytes, setHeader)},
		{name: "read_header_timeout", decode: d.duration(&limits.ReadHeaderTimeout, minLimitTimeout, maxLimitTimeout)},
		{name: "read_timeout", decode: d.duration(&limits.ReadTimeout, minLimitTimeout, maxLimitTimeout)},
		{name: "idle_timeout", decode: d.duration(&limits.IdleTimeout, minLimitTimeout, maxLimitTimeout)},
	}
	return func(node *yaml.Node, path string) { d.mapping(node, path, members) }
}
