// Package event defines the catalogue of numbered events.
//
// Every log line that an operator may act on has a number whose meaning never
// changes. The catalogue has one table per area, each in its own file:
// control (100-199), traffic (200-299), fleet (300-399), configuration and
// operators (400-499), platform (500-599), daemon life cycle (600-699),
// gateway (700-799).
// docs/EVENTS.md is generated from the catalogue; a test compares the two.
package event

import "sync"

// Number identifies a kind of event. Numbers are never reused.
type Number uint16

// Level is the severity of an event.
type Level uint8

// Severities in ascending order.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// String returns the name of the level.
func (l Level) String() string {
	names := [...]string{"debug", "info", "warn", "error"}
	if int(l) < len(names) {
		return names[l]
	}
	return "unknown"
}

// Definition describes a kind of event.
type Definition struct {
	// Number identifies the event.
	Number Number
	// Name is a short name in kebab case.
	Name string
	// Level is the severity at which the event is logged.
	Level Level
	// Meaning says what happened and what an operator may do, in one to three sentences.
	Meaning string
}

// Field is a named value of an event, such as a server's name.
type Field struct {
	Name  string
	Value string
}

// Event is an occurrence of a numbered event.
type Event struct {
	Number Number
	Cause  string
	Fields []Field
}

// New returns an event with a cause and with fields, which are given as
// alternating names and values.
func New(number Number, cause string, nameValue ...string) Event {
	fields := make([]Field, 0, len(nameValue)/2)
	for i := 0; i+1 < len(nameValue); i += 2 {
		fields = append(fields, Field{Name: nameValue[i], Value: nameValue[i+1]})
	}
	return Event{Number: number, Cause: cause, Fields: fields}
}

// Catalogue returns all definitions in ascending order of their numbers.
func Catalogue() []Definition {
	var all []Definition
	all = append(all, controlEvents...)
	all = append(all, trafficEvents...)
	all = append(all, fleetEvents...)
	all = append(all, configEvents...)
	all = append(all, platformEvents...)
	all = append(all, daemonEvents...)
	all = append(all, gatewayEvents...)
	return all
}

// byNumber returns the catalogue by number. It is built with the first Lookup.
var byNumber = sync.OnceValue(func() map[Number]Definition {
	definitions := make(map[Number]Definition)
	for _, definition := range Catalogue() {
		definitions[definition.Number] = definition
	}
	return definitions
})

// Lookup returns the definition of a number and whether it exists.
func Lookup(number Number) (Definition, bool) {
	definition, ok := byNumber()[number]
	return definition, ok
}
