// Package routing finds the route of a request by its host and path.
//
// A Table is immutable. Among the routes of a host, the one with the longest
// prefix of the path wins.
package routing

import (
	"sort"
	"strings"

	"guavacrank.example/gateway/model"
)

// Table holds the routes of one configuration.
type Table struct {
	byHost map[string][]*model.Route // The longest prefix first.
}

// NewTable returns the table of a configuration.
func NewTable(configuration *model.Configuration) *Table {
	t := &Table{byHost: make(map[string][]*model.Route)}
	for at := range configuration.Routes {
		route := &configuration.Routes[at]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return t
}

// Find returns the route for a Host header and an undecoded path, or nil.
func (t *Table) Find(host, path string) *model.Route {
	for _, route := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// normalHost removes a port and the case of a Host header.
func normalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// PickTarget returns the service for a request by the weights of the route's
// targets. A uniform random number decides.
func PickTarget(route *model.Route, random uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	left := int(random % uint64(max(total, 1)))
	for _, target := range route.Targets {
		if left < target.Weight {
			return target.Service
		}
		left -= target.Weight
	}
	return route.Targets[len(route.Targets)-1].Service
}
