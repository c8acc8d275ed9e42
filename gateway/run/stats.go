package run

import (
	"runtime"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/linger"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/pipeline"
	"guavacrank.example/traffic/metric"
)

// Stats are the counters of a gateway, served as JSON.
type Stats struct {
	Requests       map[string]map[string]metric.Report `json:"requests"`
	InFlight       int64                               `json:"in_flight"`
	Configuration  uint64                              `json:"configuration"`
	Servers        map[string]int                      `json:"servers"`
	Leading        bool                                `json:"leading"`
	VMs            int64                               `json:"vms"`
	Goroutines     int                                 `json:"goroutines"`
	Memory         map[string]memory.Usage             `json:"memory"`
	Connections    linger.Counts                       `json:"connections"`
	Pipelines      pipeline.Counts                     `json:"pipelines"`
	Availability   availability.Counts                 `json:"availability"`
	EvacuatedZones []string                            `json:"evacuated_zones"`
	// Learned is what is learned of the servers' capacity, by service.
	Learned map[string]Learned `json:"learned"`
	// ConnectionsOpened counts new connections to backend servers by cause.
	ConnectionsOpened map[string]int64 `json:"connections_opened"`
	LogLines          int64            `json:"log_lines"`
	LogLinesDropped   int64            `json:"log_lines_left_out"`
}

func (g *Gateway) stats() any {
	written, leftOut := g.shared.log.Counts()
	f := Stats{
		Requests:          g.metrics.Reports(),
		InFlight:          g.handler.InFlight(),
		Servers:           make(map[string]int),
		Leading:           g.loop.leadingNow.Load(),
		VMs:               g.loop.vms.Load(),
		Goroutines:        runtime.NumGoroutine(),
		Memory:            g.shared.memory.Usage(),
		Connections:       g.connections.Counts(),
		Availability:      g.loop.servers.availability.Counts(),
		EvacuatedZones:    g.loop.servers.evacuatedNow(),
		ConnectionsOpened: g.loop.servers.opened.Counts(),
		LogLines:          written,
		LogLinesDropped:   leftOut,
	}
	if callers := g.callers.Load(); callers != nil {
		f.Pipelines = callers.Counts()
	}
	if current, _ := g.shared.views.Load(); current != nil {
		f.Configuration = current.Configuration.Version
		f.Learned = learned(g.shared.clock(), current)
		for name, service := range current.Services {
			f.Servers[name] = len(service.Servers)
		}
	}
	return f
}
