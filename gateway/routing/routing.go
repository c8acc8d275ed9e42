// Package routing finds the route of a request by its host and path.
//
// A Table is immutable. Among the matching routes of a host, the one with the
// longest path prefix wins.
package routing

import (
	"sort"
	"strings"

	"guavacrank.example/gateway/model"
)

// Table is the routing table of one configuration.
type Table struct {
	byHost map[string][]*model.Route // Longest prefix first.
	byName map[string]*model.Route   // Those that say which regions they allow.
}

// NewTable returns the routing table of a configuration.
func NewTable(configuration *model.Configuration) *Table {
	t := &Table{byHost: make(map[string][]*model.Route), byName: make(map[string]*model.Route)}
	for _, routes := range [][]model.Route{configuration.Routes, configuration.Unusable} {
		for i := range routes {
			t.byHost[routes[i].Host] = append(t.byHost[routes[i].Host], &routes[i])
		}
	}
	for i := range configuration.Routes {
		t.byName[configuration.Routes[i].Name] = &configuration.Routes[i]
	}
	for i := range configuration.Unusable {
		if route := &configuration.Unusable[i]; len(route.Regions) > 0 {
			t.byName[route.Name] = route
		}
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return t
}

// Find returns the route for a Host header and a raw, undecoded path, or nil.
func (t *Table) Find(host, path string) *model.Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Current returns the route of this table with the name of a route of an earlier one, which
// tells to which regions its requests may be sent from now on. If there is none, or it can't
// be served for another cause, that is the earlier one.
func (t *Table) Current(earlier *model.Route) *model.Route {
	if current := t.byName[earlier.Name]; current != nil {
		return current
	}
	return earlier
}

// normalizeHost removes the port from a Host header and lowercases it.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// PickTarget returns the service for a request, chosen by the weights of the
// route's targets. random must be uniformly distributed.
func PickTarget(route *model.Route, random uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	remaining := int(random % uint64(max(total, 1)))
	for _, target := range route.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
