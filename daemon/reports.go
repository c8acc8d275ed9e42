package daemon

import (
	"context"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

const (
	// loadInterval is how often traffic's counts are handed to control.
	loadInterval = time.Second
	// reportedKeys is the number of frequent keys in one report.
	reportedKeys = 64
	// sendsInterval is how often requests in flight to servers that do not
	// check grants are looked at.
	sendsInterval = 20 * time.Millisecond
	// sweepInterval is how often idle connections are closed.
	sweepInterval = time.Second
	// probeInterval is how often servers are asked for their health.
	probeInterval = time.Second
	// readyInterval is how often the daemon looks whether it is ready.
	readyInterval = 20 * time.Millisecond
)

// every calls do at each interval until it returns false or the context ends.
func every(ctx context.Context, interval time.Duration, do func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for do() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sweep closes idle connections and refreshes what operators see.
func (d *Daemon) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func() bool {
		d.front.Sweep(time.Now())
		d.inspect(d.keepStatus)
		return true
	})
}

// probe takes the backend servers' own health reports as a hint.
func (d *Daemon) probe(ctx context.Context) {
	every(ctx, probeInterval, func() bool {
		d.front.Probe(ctx)
		return true
	})
}

// reportLoads hands what traffic counted to the control plane.
func (d *Daemon) reportLoads(ctx context.Context) {
	every(ctx, loadInterval, func() bool {
		for _, service := range d.routing.Load().Services {
			d.loop.feed(ctx, d.measuredLoad(service.Name))
		}
		return true
	})
}

func (d *Daemon) measuredLoad(service string) control.LoadMeasured {
	counted := d.front.TakeLoad(service, reportedKeys)
	measured := control.LoadMeasured{Service: service, Period: loadInterval}
	for _, unit := range counted.Units {
		measured.Units = append(measured.Units, control.UnitLoad{
			Unit:     ownership.UnitID(unit.Unit),
			Requests: unit.Requests,
		})
	}
	for _, key := range counted.Keys {
		measured.HotKeys = append(measured.HotKeys, control.KeyLoad{Key: key.Key, Requests: key.Requests - key.Error})
	}
	return measured
}

// reportSends tells the control plane which units have no request in flight at
// servers that do not check grants. It looks at each new routing until every
// such server was found idle under it.
func (d *Daemon) reportSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.routed:
		}
		settled := make(map[string]uint64) // Generation at which a server was found idle.
		every(ctx, sendsInterval, func() bool { return !d.reportOpenSends(ctx, settled) })
	}
}

// reportOpenSends reports once, and returns whether every server was found idle.
func (d *Daemon) reportOpenSends(ctx context.Context, settled map[string]uint64) bool {
	routing := d.routing.Load()
	done := true
	for i := range routing.Services {
		idle := d.reportServiceSends(ctx, routing.Generation, &routing.Services[i], settled)
		done = done && idle
	}
	return done
}

// reportServiceSends reports for one service, and returns whether every server
// of it that does not check grants was found idle.
func (d *Daemon) reportServiceSends(ctx context.Context, generation uint64, service *control.ServiceRouting, settled map[string]uint64) bool {
	open := d.uncheckedServers(service, generation, settled)
	if len(open) == 0 {
		return true
	}
	busy := make(map[ownership.UnitID]bool)
	for _, unit := range d.front.UnitsInFlight(service.Name) {
		busy[ownership.UnitID(unit)] = true
	}
	done := true
	for _, server := range open {
		finished := control.SendsFinished{Service: service.Name, Server: server, Generation: generation}
		if serverBusy(service, server, busy) {
			done = false
			finished.Units = idleUnits(service, busy)
			if len(finished.Units) == 0 {
				continue
			}
		} else {
			settled[server] = generation
		}
		d.loop.feed(ctx, finished)
	}
	return done
}

// uncheckedServers returns this VM's servers that do not check grants and were
// not yet found idle at the generation.
func (d *Daemon) uncheckedServers(service *control.ServiceRouting, generation uint64, settled map[string]uint64) []string {
	accepted := d.accepted.Load()
	if accepted == nil {
		return nil
	}
	var open []string
	for _, server := range service.Servers {
		declared, known := accepted.configuration.Server(server.Name)
		if known && !declared.ChecksGrants && settled[server.Name] != generation {
			open = append(open, server.Name)
		}
	}
	return open
}

// serverBusy reports whether a request in flight may be at the server: its
// unit is the server's, or is moving.
func serverBusy(service *control.ServiceRouting, server string, busy map[ownership.UnitID]bool) bool {
	for _, unit := range service.Units {
		if busy[unit.ID] && (unit.Owner == server || !unit.Servable) {
			return true
		}
	}
	return false
}

// idleUnits returns the units without a request in flight.
func idleUnits(service *control.ServiceRouting, busy map[ownership.UnitID]bool) []ownership.UnitID {
	var idle []ownership.UnitID
	for _, unit := range service.Units {
		if !busy[unit.ID] {
			idle = append(idle, unit.ID)
		}
	}
	return idle
}
