package config

import (
	"slices"
	"time"
)

// Service returns the service of a name and whether it is declared.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Server returns the backend server of a name and whether it is declared.
func (c *Configuration) Server(name string) (Server, bool) {
	for _, server := range c.Servers {
		if server.Name == name {
			return server, true
		}
	}
	return Server{}, false
}

// divided reports whether a service is divided by key.
func (c *Configuration) divided(service string) bool {
	declared, _ := c.Service(service)
	return declared.DividedByKey
}

// SettingsFor returns the defaults with the exceptions that apply. An empty
// class or server asks without it; an empty service is taken from the server.
// An exception for a server goes before one for a class, and both go before
// one for a service.
func (c *Configuration) SettingsFor(service, class, server string) Defaults {
	settings := c.Defaults
	if service == "" {
		declared, _ := c.Server(server)
		service = declared.Service
	}
	for _, scope := range []Scope{ForService, ForClass, ForServer} {
		for _, exception := range c.Exceptions {
			if exception.scope() == scope && exception.matches(service, class, server) {
				exception.apply(&settings)
			}
		}
	}
	return settings
}

// ExpiredExceptions returns the exceptions whose Until has passed. They are
// still in force; an operator removes or prolongs them.
func (c *Configuration) ExpiredExceptions(now time.Time) []Exception {
	var expired []Exception
	for _, exception := range c.Exceptions {
		if !exception.Until.IsZero() && exception.Until.Before(now) {
			expired = append(expired, exception)
		}
	}
	return expired
}

// hasClass reports whether the service has a class of that name.
func (s Service) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

// scope returns what the exception is for.
func (e Exception) scope() Scope {
	switch {
	case e.Server != "":
		return ForServer
	case e.Class != "":
		return ForClass
	default:
		return ForService
	}
}

// Selector names what the exception is for.
func (e Exception) Selector() string {
	switch e.scope() {
	case ForServer:
		return "server " + e.Server
	case ForClass:
		return "class " + e.Service + "/" + e.Class
	default:
		return "service " + e.Service
	}
}

// matches reports whether the exception applies.
func (e Exception) matches(service, class, server string) bool {
	switch e.scope() {
	case ForServer:
		return e.Server == server
	case ForClass:
		return e.Service == service && e.Class == class
	default:
		return e.Service == service
	}
}

// apply writes the exception's values into settings.
func (e Exception) apply(settings *Defaults) {
	for _, assignment := range e.Set {
		definition, known := LookupField(assignment.Field)
		if known {
			definition.set(settings, assignment.Value)
		}
	}
}
