package daemon

import (
	"context"
	"sync"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/fleet/role"
	"guavacrank.example/traffic/elapsed"
)

// electorInterval is how often the daemon checks for services without an elector.
const electorInterval = 500 * time.Millisecond

// electors takes part in the election of the planner of every service divided by
// key.
type electors struct {
	running sync.WaitGroup
	started map[string]bool
}

// run starts an elector for each new service, until ctx ends.
func (e *electors) run(ctx context.Context, d *Daemon) error {
	e.started = make(map[string]bool)
	every(ctx, electorInterval, func() bool {
		for _, service := range d.dividedServices() {
			e.startElector(ctx, d, control.PlannerRole(service))
		}
		return true
	})
	e.running.Wait()
	return nil
}

func (e *electors) startElector(ctx context.Context, d *Daemon, name string) {
	if e.started[name] {
		return
	}
	e.started[name] = true
	elector := role.New(role.Options{
		Store:  d.options.Store,
		Role:   name,
		Holder: d.options.Settings.VM,
		Clock:  elapsed.Now,
		OnChange: func(held bool) {
			d.loop.feed(ctx, control.RoleChanged{Role: name, Held: held})
		},
	})
	e.running.Go(func() { _ = elector.Run(ctx) })
}

// dividedServices returns the names of the services that are divided by key in the
// configuration in force.
func (d *Daemon) dividedServices() []string {
	active := d.active.Load()
	if active == nil {
		return nil
	}
	var names []string
	for _, service := range active.configuration.Services {
		if service.DividedByKey {
			names = append(names, service.Name)
		}
	}
	return names
}
