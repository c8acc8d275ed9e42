// Package diff tells what changes between two configurations, by entity and
// field and not by line of text, and what follows from it for the fleet.
package diff

import (
	"fmt"
	"strconv"
	"time"

	"guavacrank.example/config"
)

// Kind says what happened to an entity or field.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. Field is empty where the whole entity was added or
// removed.
type Change struct {
	Kind   Kind   `json:"kind"`
	Entity string `json:"entity"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Kind == Added:
		return fmt.Sprintf("+ %s %s", c.Entity, c.After)
	case c.Kind == Removed:
		return fmt.Sprintf("- %s %s", c.Entity, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s: %s -> %s", c.Entity, c.Field, c.Before, c.After)
	}
}

// attribute is one field of an entity as text.
type attribute struct {
	name  string
	value string
}

// entity is a thing of a configuration with its fields.
type entity struct {
	name       string
	attributes []attribute
}

// Compare returns the changes from before to after, in the order of the file.
// A nil configuration is empty.
func Compare(before, after *config.Configuration) []Change {
	return compareEntities(entities(before), entities(after))
}

// compareEntities compares two lists of entities by name.
func compareEntities(before, after []entity) []Change {
	earlier := make(map[string]entity, len(before))
	for _, one := range before {
		earlier[one.name] = one
	}
	var changes []Change
	kept := make(map[string]bool, len(after))
	for _, one := range after {
		kept[one.name] = true
		old, known := earlier[one.name]
		if !known {
			changes = append(changes, Change{Kind: Added, Entity: one.name, After: one.summary()})
			continue
		}
		changes = append(changes, compareAttributes(old, one)...)
	}
	for _, one := range before {
		if !kept[one.name] {
			changes = append(changes, Change{Kind: Removed, Entity: one.name, Before: one.summary()})
		}
	}
	return changes
}

// compareAttributes compares the fields of one entity. Fields may be absent.
func compareAttributes(before, after entity) []Change {
	var changes []Change
	for _, old := range before.attributes {
		value := after.value(old.name)
		if value != old.value {
			changes = append(changes, Change{Kind: Changed, Entity: after.name, Field: old.name, Before: old.value, After: value})
		}
	}
	for _, current := range after.attributes {
		if before.value(current.name) == absent {
			changes = append(changes, Change{Kind: Changed, Entity: after.name, Field: current.name, Before: absent, After: current.value})
		}
	}
	return changes
}

// absent is the value of a field that an entity does not have.
const absent = "(none)"

// value returns the text of a field.
func (e entity) value(name string) string {
	for _, one := range e.attributes {
		if one.name == name {
			return one.value
		}
	}
	return absent
}

// summary returns the fields as one line.
func (e entity) summary() string {
	text := "{"
	for i, one := range e.attributes {
		if i > 0 {
			text += ", "
		}
		text += one.name + ": " + one.value
	}
	return text + "}"
}

// entities lists everything that a configuration declares.
func entities(c *config.Configuration) []entity {
	if c == nil {
		return nil
	}
	list := []entity{defaultsEntity(c.Defaults)}
	for _, service := range c.Services {
		list = append(list, serviceEntities(service)...)
	}
	for _, server := range c.Servers {
		list = append(list, serverEntity(server))
	}
	for _, lost := range c.Lost {
		name := fmt.Sprintf("lost %s %s", lost.Kind, lost.Name)
		list = append(list, entity{name, []attribute{{"reason", strconv.Quote(lost.Reason)}}})
	}
	return append(list, exceptionEntities(c.Exceptions)...)
}

func defaultsEntity(defaults config.Defaults) entity {
	one := entity{name: "defaults"}
	for _, field := range config.Fields() {
		one.attributes = append(one.attributes, attribute{string(field.Name), field.Text(defaults)})
	}
	return one
}

func serviceEntities(service config.Service) []entity {
	list := []entity{{"service " + service.Name, []attribute{
		{"divided_by_key", strconv.FormatBool(service.DividedByKey)},
		{"shards", strconv.Itoa(service.Shards)},
	}}}
	for _, class := range service.Classes {
		list = append(list, entity{"class " + service.Name + "/" + class.Name, []attribute{
			{"idempotent", strconv.FormatBool(class.Idempotent)},
			{"priority", class.Priority.String()},
			{"deadline", class.Deadline.String()},
		}})
	}
	for _, key := range service.Keys {
		name := fmt.Sprintf("key %s/%q", service.Name, key.Key)
		list = append(list, entity{name, []attribute{{"server", key.Server}}})
	}
	return list
}

func serverEntity(server config.Server) entity {
	return entity{"server " + server.Name, []attribute{
		{"service", server.Service},
		{"address", server.Address},
		{"region", server.Region},
		{"zone", server.Zone},
		{"slots", strconv.Itoa(server.Slots)},
		{"connections", strconv.Itoa(server.Connections)},
		{"checks_grants", strconv.FormatBool(server.ChecksGrants)},
		{"draining", strconv.FormatBool(server.Draining)},
	}}
}

// exceptionEntities joins the exceptions for one thing into one entity.
func exceptionEntities(exceptions []config.Exception) []entity {
	var list []entity
	index := make(map[string]int)
	for _, exception := range exceptions {
		name := "exception for " + exception.Selector()
		if _, known := index[name]; !known {
			index[name] = len(list)
			list = append(list, entity{name: name})
		}
		one := &list[index[name]]
		one.attributes = append(one.attributes, exceptionAttributes(exception)...)
	}
	return list
}

func exceptionAttributes(exception config.Exception) []attribute {
	var list []attribute
	for _, assignment := range exception.Set {
		definition, _ := config.LookupField(assignment.Field)
		text := definition.Kind.Format(assignment.Value) + " because " + strconv.Quote(exception.Reason)
		if !exception.Until.IsZero() {
			text += " until " + exception.Until.Format(time.RFC3339)
		}
		list = append(list, attribute{string(assignment.Field), text})
	}
	return list
}
