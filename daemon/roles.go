package daemon

import (
	"context"
	"sync"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/fleet/role"
	"guavacrank.example/traffic/elapsed"
)

// rolesInterval is how often the daemon looks for services without an elector.
const rolesInterval = 500 * time.Millisecond

// roles competes for the planner's role of every service divided by key.
type roles struct {
	running sync.WaitGroup
	known   map[string]bool
}

// run starts an elector for each service that appears, until ctx ends.
func (r *roles) run(ctx context.Context, d *Daemon) error {
	r.known = make(map[string]bool)
	every(ctx, rolesInterval, func() bool {
		for _, service := range d.dividedServices() {
			r.compete(ctx, d, control.PlannerRole(service))
		}
		return true
	})
	r.running.Wait()
	return nil
}

func (r *roles) compete(ctx context.Context, d *Daemon, name string) {
	if r.known[name] {
		return
	}
	r.known[name] = true
	elector := role.New(role.Options{
		Store:  d.options.Store,
		Role:   name,
		Holder: d.options.Settings.VM,
		Clock:  elapsed.Now,
		OnChange: func(held bool) {
			d.loop.feed(ctx, control.RoleChanged{Role: name, Held: held})
		},
	})
	r.running.Go(func() { _ = elector.Run(ctx) })
}

// dividedServices returns the services divided by key of the configuration in force.
func (d *Daemon) dividedServices() []string {
	accepted := d.accepted.Load()
	if accepted == nil {
		return nil
	}
	var names []string
	for _, service := range accepted.configuration.Services {
		if service.DividedByKey {
			names = append(names, service.Name)
		}
	}
	return names
}
