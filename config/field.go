package config

import (
	"strings"
	"time"
)

// Scope says for what an exception may set a field.
type Scope uint8

// Scopes; a field may have several, and none where only the fleet's default counts.
const (
	ForService Scope = 1 << iota
	ForClass
	ForServer
)

// String lists what the scope allows.
func (s Scope) String() string {
	if s == 0 {
		return "in defaults"
	}
	var names []string
	for bit, name := range []string{"for a service", "for a class", "for a server"} {
		if s&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Field is the name in YAML of one field of Defaults.
type Field string

// FieldDefinition describes one field of Defaults.
type FieldDefinition struct {
	Name Field
	Kind Kind
	// Min and Max bound the value, in the unit of Kind.
	Min, Max int64
	// Scopes says for what an exception may set the field.
	Scopes  Scope
	Meaning string

	get func(*Defaults) int64
	set func(*Defaults, int64)
}

// Value returns the field's value in the unit of its kind.
func (f FieldDefinition) Value(d Defaults) int64 { return f.get(&d) }

// Text returns the field's value as YAML writes it.
func (f FieldDefinition) Text(d Defaults) string { return f.Kind.Format(f.get(&d)) }

// Fields returns the definition of every field of Defaults, in the order of the struct.
func Fields() []FieldDefinition { return append([]FieldDefinition(nil), fieldTable...) }

// LookupField returns the definition of a field and whether it exists.
func LookupField(name Field) (FieldDefinition, bool) {
	for _, definition := range fieldTable {
		if definition.Name == name {
			return definition, true
		}
	}
	return FieldDefinition{}, false
}

// integer is the type of a field of Defaults.
type integer interface {
	~int | ~int64
}

// access returns the two functions of a field that pointer selects.
func access[T integer](pointer func(*Defaults) *T) (func(*Defaults) int64, func(*Defaults, int64)) {
	get := func(d *Defaults) int64 { return int64(*pointer(d)) }
	set := func(d *Defaults, value int64) { *pointer(d) = T(value) }
	return get, set
}

// define returns a field's definition.
func define[T integer](name Field, kind Kind, least, most int64, scopes Scope, pointer func(*Defaults) *T, meaning string) FieldDefinition {
	get, set := access(pointer)
	return FieldDefinition{Name: name, Kind: kind, Min: least, Max: most, Scopes: scopes, Meaning: meaning, get: get, set: set}
}

// milliseconds returns a count of milliseconds in the unit of KindDuration.
func milliseconds(count int64) int64 { return count * int64(time.Millisecond) }

// seconds returns a count of seconds in the unit of KindDuration.
func seconds(count int64) int64 { return count * int64(time.Second) }

var fieldTable = []FieldDefinition{
	define("grant_time_to_live", KindDuration, milliseconds(300), seconds(10), 0,
		func(d *Defaults) *time.Duration { return &d.GrantTimeToLive },
		"Life of a grant to a backend server. After the loss of a server its keys wait until its last grant has run out."),
	define("renew_interval", KindDuration, milliseconds(50), seconds(3), 0,
		func(d *Defaults) *time.Duration { return &d.RenewInterval },
		"Time between two renewals of a grant. At least three fit into the life of a grant."),
	define("clock_rate_margin", KindPartsPerMillion, 10, 100_000, 0,
		func(d *Defaults) *int { return &d.ClockRateMargin },
		"Greatest rate error of a clock. Waits for the end of a grant grow by it."),
	define("max_attempts", KindCount, 1, 10, ForService|ForClass,
		func(d *Defaults) *int { return &d.MaxAttempts },
		"Attempts of one request, the first included."),
	define("retry_budget", KindPercent, 1, 100, ForService,
		func(d *Defaults) *int { return &d.RetryBudget },
		"Share of recent successes that may be spent on retries."),
	define("queue_limit", KindCount, 1, 100_000, ForService|ForServer,
		func(d *Defaults) *int { return &d.QueueLimit },
		"Requests of each class that wait for a backend server."),
	define("bulk_floor", KindPercent, 1, 50, ForService|ForServer,
		func(d *Defaults) *int { return &d.BulkFloor },
		"Least share of a backend server's slots for bulk classes while they have work."),
	define("stop_limit", KindDuration, seconds(1), seconds(600), 0,
		func(d *Defaults) *time.Duration { return &d.StopLimit },
		"How long a stopping daemon waits for requests in flight."),
	define("hold_time", KindDuration, seconds(1), seconds(3600), ForService,
		func(d *Defaults) *time.Duration { return &d.HoldTime },
		"Least time between two planned moves of one shard or key."),
	define("moves_per_minute", KindCount, 1, 10_000, ForService,
		func(d *Defaults) *int { return &d.MovesPerMinute },
		"Most planned moves a minute for each service. Moves after a loss are not counted."),
	define("hot_key_share", KindPermille, 1, 1000, ForService,
		func(d *Defaults) *int { return &d.HotKeyShare },
		"Share of a service's load from which a key is taken out of its shard."),
	define("max_body", KindBytes, 1<<10, 64<<20, ForService|ForClass,
		func(d *Defaults) *int64 { return &d.MaxBodyBytes },
		"Largest body of a caller's request."),
	define("link_bulk_rate", KindByteRate, 1<<10, 1<<30, ForService,
		func(d *Defaults) *int64 { return &d.LinkBulkRate },
		"Bytes a second of one service's bulk classes that each daemon sends over the link between regions, and receives."),
}
