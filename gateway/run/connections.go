package run

import (
	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/model"
)

// connectionDescriptors is the part of the process's descriptors, as a divisor, that
// connections to backend servers may take together. Callers, other VMs, the store and
// files need the rest.
const connectionDescriptors = 2

// connectionLimit returns the limit of connections from this VM to each server of a
// service: its share of what the configuration allows, as far as the process's
// descriptors permit it for all servers.
func (t *serverTable) connectionLimit(service string, configured model.Service, vms int) int {
	bound := max(t.settings.MaxDescriptors/connectionDescriptors/max(len(t.rows), 1), minConnections)
	if configured.MaxConnections <= 0 {
		return min(t.settings.MaxDescriptors/8, bound)
	}
	share := max(configured.MaxConnections/(vms+1), 1) // One share is left for the leader's calls.
	if share <= bound {
		delete(t.bounded, service)
		return share
	}
	if t.bounded[service] != configured.MaxConnections {
		t.bounded[service] = configured.MaxConnections
		t.log.Event(event.ConnectionsBounded, "", zap.String("service", service), zap.Int("configured", configured.MaxConnections),
			zap.Int("share", share), zap.Int("limit", bound), zap.Int("servers", len(t.rows)))
	}
	return bound
}
