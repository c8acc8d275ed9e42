package diff

import (
	"fmt"
	"slices"

	"guavacrank.example/config"
)

// Holding is how many shards and separate keys a backend server owns now.
type Holding struct {
	Server string `json:"server"`
	Units  int    `json:"units"`
}

// Consequence is what a change means for the fleet.
type Consequence struct {
	Entity string `json:"entity"`
	Effect string `json:"effect"`
}

// String returns the consequence as one line.
func (c Consequence) String() string { return c.Entity + ": " + c.Effect }

// assessment collects the consequences of one change.
type assessment struct {
	before, after *config.Configuration
	holdings      []Holding
	found         []Consequence
}

// Assess returns what follows from replacing before by after: which servers
// lose or get work, which keys move, and what happens to requests. Holdings
// say what the servers own now; they may be empty. A nil before is empty.
func Assess(before, after *config.Configuration, holdings []Holding) []Consequence {
	if before == nil {
		before = &config.Configuration{}
	}
	a := &assessment{before: before, after: after, holdings: holdings}
	a.services()
	a.servers()
	a.keys()
	a.classes()
	a.lost()
	return a.found
}

// add records one consequence.
func (a *assessment) add(entity, format string, args ...any) {
	a.found = append(a.found, Consequence{Entity: entity, Effect: fmt.Sprintf(format, args...)})
}

func (a *assessment) services() {
	for _, service := range a.before.Services {
		if _, kept := a.after.Service(service.Name); !kept {
			a.add("service "+service.Name, "requests for it are refused as not run")
		}
	}
	for _, service := range a.after.Services {
		if !a.declaredBefore(service.Name) {
			a.starts(service)
		}
	}
}

// declaredBefore reports whether a service was declared already.
func (a *assessment) declaredBefore(service string) bool {
	_, known := a.before.Service(service)
	return known
}

// starts records a new service.
func (a *assessment) starts(service config.Service) {
	serving := 0
	for _, server := range a.after.Servers {
		if server.Service == service.Name && !server.Draining {
			serving++
		}
	}
	if service.DividedByKey {
		a.add("service "+service.Name, "its %d shards are given to %d servers", service.Shards, serving)
		return
	}
	a.add("service "+service.Name, "its requests are answered by %d servers", serving)
}

func (a *assessment) servers() {
	for _, old := range a.before.Servers {
		current, kept := a.after.Server(old.Name)
		if _, served := a.after.Service(old.Service); !served {
			continue
		}
		switch {
		case !kept:
			a.loses(old, "leaves")
		case current.Draining && !old.Draining:
			a.loses(old, "drains")
		case !current.Draining && old.Draining:
			a.gains(current)
		case current.Slots != old.Slots:
			a.add("server "+old.Name, "its share of %s changes with its slots, %d to %d", old.Service, old.Slots, current.Slots)
		}
	}
	for _, server := range a.after.Servers {
		_, known := a.before.Server(server.Name)
		if !known && !server.Draining && a.declaredBefore(server.Service) {
			a.gains(server)
		}
	}
}

// loses records what a server hands over.
func (a *assessment) loses(server config.Server, how string) {
	index := slices.IndexFunc(a.holdings, func(h Holding) bool { return h.Server == server.Name })
	service, _ := a.after.Service(server.Service)
	switch {
	case !service.DividedByKey:
		a.add("server "+server.Name, "%s: it gets no new requests of %s", how, server.Service)
	case index < 0:
		a.add("server "+server.Name, "%s: every shard and key of %s that it owns moves to other servers", how, server.Service)
	default:
		a.add("server "+server.Name, "%s: %d shards and keys of %s move to other servers", how, a.holdings[index].Units, server.Service)
	}
}

// gains records the share of a server that starts to take work.
func (a *assessment) gains(server config.Server) {
	service, _ := a.after.Service(server.Service)
	if !service.DividedByKey {
		a.add("server "+server.Name, "gets requests of %s", server.Service)
		return
	}
	all := 0
	for _, other := range a.after.Servers {
		if other.Service == server.Service && !other.Draining {
			all += other.Slots
		}
	}
	a.add("server "+server.Name, "about %d of %d shards of %s move to it", service.Shards*server.Slots/max(all, 1), service.Shards, server.Service)
}

func (a *assessment) keys() {
	for _, service := range a.after.Services {
		old, _ := a.before.Service(service.Name)
		for _, key := range service.Keys {
			if !slices.Contains(old.Keys, key) {
				a.add(fmt.Sprintf("key %s/%q", service.Name, key.Key), "moves to server %s and stays there", key.Server)
			}
		}
	}
}

func (a *assessment) classes() {
	for _, service := range a.after.Services {
		old, _ := a.before.Service(service.Name)
		for _, class := range service.Classes {
			index := slices.IndexFunc(old.Classes, func(c config.Class) bool { return c.Name == class.Name })
			if index >= 0 && old.Classes[index].Idempotent != class.Idempotent {
				a.idempotence(service, class)
			}
		}
	}
}

// idempotence records a class whose requests may or may no longer run twice.
func (a *assessment) idempotence(service config.Service, class config.Class) {
	name := "class " + service.Name + "/" + class.Name
	if class.Idempotent {
		a.add(name, "its requests may run twice from now on")
		return
	}
	a.add(name, "its requests are repeated only when proved not run")
}

func (a *assessment) lost() {
	for _, lost := range a.after.Lost {
		if !slices.ContainsFunc(a.before.Lost, func(l config.Lost) bool { return l.Kind == lost.Kind && l.Name == lost.Name }) {
			a.add(fmt.Sprintf("%s %s", lost.Kind, lost.Name),
				"what it owned or granted is moved without waiting for its word; it must not be running")
		}
	}
}
