// Package homes decides in which regions the servers of a route's requests may stand. The
// design is described in docs/design/homes.md.
//
// Package homes does no I/O and reads no clock.
package homes

import (
	"fmt"
	"slices"

	"guavacrank.example/gateway/model"
)

// Allows reports whether a route's requests may be sent to a server in a region. The region
// of a server is empty if it is unknown.
func Allows(route *model.Route, region string) bool {
	return len(route.Regions) == 0 || slices.Contains(route.Regions, region)
}

// UnknownRegionError says that a route names a region that is none of the settings.
type UnknownRegionError struct {
	Route, Region string
}

// Error implements error.
func (e UnknownRegionError) Error() string {
	return fmt.Sprintf("configuration: route %q: region %q is unknown", e.Route, e.Region)
}

// LeaveOut makes the routes unusable that name a region to which no availability zone
// belongs. regions maps zones to regions. The other routes stay as they are.
func LeaveOut(configuration *model.Configuration, regions map[string]string) []error {
	known := make(map[string]bool, len(regions))
	for _, region := range regions {
		known[region] = true
	}
	var errs []error
	usable := make([]model.Route, 0, len(configuration.Routes))
	for _, route := range configuration.Routes {
		at := slices.IndexFunc(route.Regions, func(region string) bool { return !known[region] })
		if at < 0 {
			usable = append(usable, route)
			continue
		}
		errs = append(errs, UnknownRegionError{route.Name, route.Regions[at]})
		configuration.Unusable = append(configuration.Unusable,
			model.Route{Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, Regions: route.Regions})
	}
	configuration.Routes = usable
	return errs
}

// OwnerRegions returns the regions in which the owners of a service's keys have to stand, or
// none if they may stand in all: those that all routes to the service allow or, if there is
// none, those that any of them names.
func OwnerRegions(configuration *model.Configuration, service string) []string {
	var common, named []string
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if len(route.Regions) == 0 || !leadsTo(route, service) {
			continue
		}
		if named == nil {
			common = slices.Clone(route.Regions)
		}
		named = append(named, route.Regions...)
		common = slices.DeleteFunc(common, func(region string) bool { return !Allows(route, region) })
	}
	if len(common) == 0 {
		return named
	}
	return common
}

// leadsTo reports whether some of a route's requests go to a service.
func leadsTo(route *model.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(target model.Target) bool {
		return target.Service == service && target.Weight > 0
	})
}
