package daemon

import (
	"encoding/json"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/event"
)

// Stats are a daemon's metrics: one member, named after its VM, of the expvar
// variable "guavacrank". docs/operators/metrics.md describes them.
type Stats struct {
	Ready    bool            `json:"ready"`
	Stopping bool            `json:"stopping"`
	Revision config.Revision `json:"revision"`
	// InFlight is the number of requests in flight on this VM, including forwarded
	// ones.
	InFlight int `json:"in_flight"`
	// Events counts the numbered events since the process started.
	Events map[event.Number]uint64 `json:"events"`
	// Services are the services divided by key.
	Services []ServiceStats `json:"services"`
	// Traffic is the JSON encoding of front.Status.
	Traffic json.RawMessage `json:"traffic"`
}

// ServiceStats are the ownership metrics of one service divided by key.
type ServiceStats struct {
	Name        string `json:"name"`
	PageVersion uint64 `json:"page_version"`
	Units       int    `json:"units"`
	// Waiting is the number of units that no server may serve at the moment.
	Waiting int `json:"waiting"`
	// TermsHeld is the number of backend servers that this VM is the grantor of.
	TermsHeld int `json:"terms_held"`
}

// stats returns the current metrics.
func (d *Daemon) stats() Stats {
	stats := Stats{
		Ready:    d.Ready(),
		Stopping: d.stopping.Load(),
		InFlight: d.front.InFlight(),
		Events:   d.events.Counts(),
		Traffic:  json.RawMessage(d.front.String()),
	}
	if active := d.active.Load(); active != nil {
		stats.Revision = active.revision
	}
	routing := d.routing.Load()
	for i := range routing.Services {
		service := &routing.Services[i]
		serviceStats := ServiceStats{Name: service.Name, PageVersion: service.PageVersion, Units: len(service.Units)}
		for _, unit := range service.Units {
			if !unit.Servable {
				serviceStats.Waiting++
			}
		}
		serviceStats.TermsHeld = termsHeld(service, d.options.Settings.VM)
		stats.Services = append(stats.Services, serviceStats)
	}
	return stats
}

// termsHeld counts the backend servers of a service that a VM is the grantor of.
func termsHeld(service *control.ServiceRouting, vm string) int {
	held := 0
	for _, server := range service.Servers {
		if server.Home == vm {
			held++
		}
	}
	return held
}

// termsHeld counts the terms that this VM holds.
func (d *Daemon) termsHeld() int {
	held := 0
	routing := d.routing.Load()
	for i := range routing.Services {
		held += termsHeld(&routing.Services[i], d.options.Settings.VM)
	}
	return held
}
