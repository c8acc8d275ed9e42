package daemon

import (
	"encoding/json"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/event"
)

// Stats are a daemon's metrics: one member, named by its VM, of the expvar
// variable "guavacrank". docs/operators/metrics.md explains them.
type Stats struct {
	Ready    bool            `json:"ready"`
	Stopping bool            `json:"stopping"`
	Revision config.Revision `json:"revision"`
	// InFlight is the number of requests in this VM, forwarded ones included.
	InFlight int `json:"in_flight"`
	// Events counts the numbered events since the process started.
	Events map[event.Number]uint64 `json:"events"`
	// Services are the services divided by key.
	Services []ServiceStats `json:"services"`
	// Traffic is front.Status.
	Traffic json.RawMessage `json:"traffic"`
}

// ServiceStats are the ownership figures of one service divided by key.
type ServiceStats struct {
	Name        string `json:"name"`
	PageVersion uint64 `json:"page_version"`
	Units       int    `json:"units"`
	// Waiting is the number of units that no server may serve at this moment.
	Waiting int `json:"waiting"`
	// TermsHeld is the number of backend servers that this VM is the grantor of.
	TermsHeld int `json:"terms_held"`
}

// figures returns the newest metrics.
func (d *Daemon) figures() Stats {
	figures := Stats{
		Ready:    d.Ready(),
		Stopping: d.stopping.Load(),
		InFlight: d.front.InFlight(),
		Events:   d.events.Counts(),
		Traffic:  json.RawMessage(d.front.String()),
	}
	if accepted := d.accepted.Load(); accepted != nil {
		figures.Revision = accepted.revision
	}
	routing := d.routing.Load()
	for i := range routing.Services {
		service := &routing.Services[i]
		counted := ServiceStats{Name: service.Name, PageVersion: service.PageVersion, Units: len(service.Units)}
		for _, unit := range service.Units {
			if !unit.Servable {
				counted.Waiting++
			}
		}
		counted.TermsHeld = termsHeld(service, d.options.Settings.VM)
		figures.Services = append(figures.Services, counted)
	}
	return figures
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
