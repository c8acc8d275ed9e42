package daemon

import (
	"context"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

const (
	// loadInterval is how often the request counts are reported to the control plane.
	loadInterval = time.Second
	// reportedKeys is the largest number of frequent keys in one report.
	reportedKeys = 64
	// idleInterval is how often the requests in flight to servers that do not check
	// grants are examined.
	idleInterval = 20 * time.Millisecond
	// sweepInterval is how often idle connections are closed.
	sweepInterval = time.Second
	// probeInterval is how often the health of backend servers is checked.
	probeInterval = time.Second
	// readyInterval is how often the daemon checks whether it is ready.
	readyInterval = 20 * time.Millisecond
)

// every calls run immediately and then at each interval, until it returns false or the
// context ends.
func every(ctx context.Context, interval time.Duration, run func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for run() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runSweeps closes idle connections and updates the status for operators at each
// sweepInterval.
func (d *Daemon) runSweeps(ctx context.Context) {
	every(ctx, sweepInterval, func() bool {
		d.front.Sweep(time.Now())
		d.inspect(d.storeStatus)
		return true
	})
}

// runProbes checks the health of the backend servers at each probeInterval. The
// results only serve as hints.
func (d *Daemon) runProbes(ctx context.Context) {
	every(ctx, probeInterval, func() bool {
		d.front.Probe(ctx)
		return true
	})
}

// reportLoads reports the request counts to the control plane.
func (d *Daemon) reportLoads(ctx context.Context) {
	every(ctx, loadInterval, func() bool {
		for _, service := range d.routing.Load().Services {
			d.loop.feed(ctx, d.measuredLoad(service.Name))
		}
		return true
	})
}

func (d *Daemon) measuredLoad(service string) control.LoadMeasured {
	counts := d.front.TakeLoad(service, reportedKeys)
	measured := control.LoadMeasured{Service: service, Period: loadInterval}
	for _, unit := range counts.Units {
		measured.Units = append(measured.Units, control.UnitLoad{
			Unit:     ownership.UnitID(unit.Unit),
			Requests: unit.Requests,
		})
	}
	for _, key := range counts.Keys {
		measured.HotKeys = append(measured.HotKeys, control.KeyLoad{Key: key.Key, Requests: key.Requests - key.Error})
	}
	return measured
}

// reportIdle reports to the control plane which units have no request in flight at
// servers that do not check grants. After each routing change it repeats the
// report until every such server has been idle under that routing.
func (d *Daemon) reportIdle(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.routingChanged:
		}
		idleGenerations := make(map[string]uint64) // Routing generation at which each server was found idle.
		every(ctx, idleInterval, func() bool { return !d.reportIdleOnce(ctx, idleGenerations) })
	}
}

// reportIdleOnce reports once, and returns whether every server has been idle.
func (d *Daemon) reportIdleOnce(ctx context.Context, idleGenerations map[string]uint64) bool {
	routing := d.routing.Load()
	done := true
	for i := range routing.Services {
		idle := d.reportIdleService(ctx, routing.Generation, &routing.Services[i], idleGenerations)
		done = done && idle
	}
	return done
}

// reportIdleService reports for one service, and returns whether each of its
// servers that do not check grants has been idle.
func (d *Daemon) reportIdleService(ctx context.Context, generation uint64, service *control.ServiceRouting, idleGenerations map[string]uint64) bool {
	pending := d.uncheckedServers(service, generation, idleGenerations)
	if len(pending) == 0 {
		return true
	}
	inFlight := make(map[ownership.UnitID]bool)
	for _, unit := range d.front.UnitsInFlight(service.Name) {
		inFlight[ownership.UnitID(unit)] = true
	}
	done := true
	for _, server := range pending {
		finished := control.SendsFinished{Service: service.Name, Server: server, Generation: generation}
		if mayHaveRequests(service, server, inFlight) {
			done = false
			finished.Units = idleUnits(service, inFlight)
			if len(finished.Units) == 0 {
				continue
			}
		} else {
			idleGenerations[server] = generation
		}
		d.loop.feed(ctx, finished)
	}
	return done
}

// uncheckedServers returns the servers of a service that do not check grants and
// have not been idle yet at the routing generation.
func (d *Daemon) uncheckedServers(service *control.ServiceRouting, generation uint64, idleGenerations map[string]uint64) []string {
	active := d.active.Load()
	if active == nil {
		return nil
	}
	var pending []string
	for _, server := range service.Servers {
		declared, known := active.configuration.Server(server.Name)
		if known && !declared.ChecksGrants && idleGenerations[server.Name] != generation {
			pending = append(pending, server.Name)
		}
	}
	return pending
}

// mayHaveRequests reports whether a request in flight may be at the server: its
// unit is owned by the server, or is moving.
func mayHaveRequests(service *control.ServiceRouting, server string, inFlight map[ownership.UnitID]bool) bool {
	for _, unit := range service.Units {
		if inFlight[unit.ID] && (unit.Owner == server || !unit.Servable) {
			return true
		}
	}
	return false
}

// idleUnits returns the units without requests in flight.
func idleUnits(service *control.ServiceRouting, inFlight map[ownership.UnitID]bool) []ownership.UnitID {
	var idle []ownership.UnitID
	for _, unit := range service.Units {
		if !inFlight[unit.ID] {
			idle = append(idle, unit.ID)
		}
	}
	return idle
}
