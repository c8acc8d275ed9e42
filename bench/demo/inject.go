package demo

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/platform"
	"guavacrank.example/platform/memstore"
)

// injector causes the faults of a run at their times.
type injector struct {
	world *world
	// hit names the servers that a fault was caused at.
	hit map[string]bool
	// stops are the graceful stops under way, failed what they reported.
	stops  sync.WaitGroup
	failed chan error
}

// newInjector returns an injector for a list of faults.
func newInjector(w *world, faults []Fault) *injector {
	return &injector{world: w, hit: make(map[string]bool), failed: make(chan error, len(faults))}
}

// step is one action of a fault at a time from the start of the load.
type step struct {
	at    time.Duration
	run   func() error
	event event.Number
	fault string
}

// plan resolves the targets of the faults and returns their steps in order of time.
func (i *injector) plan(faults []Fault) ([]step, error) {
	var steps []step
	for n := range faults {
		fault := &faults[n]
		begin, end, err := i.actions(fault)
		if err != nil {
			return nil, err
		}
		steps = append(steps, step{fault.Start, begin, event.StandinFault, fault.String()})
		if fault.End != 0 {
			steps = append(steps, step{fault.End, end, event.StandinFaultEnded, fault.String()})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	return steps, nil
}

func (i *injector) actions(fault *Fault) (begin, end func() error, err error) {
	switch fault.Kind {
	case FaultStore:
		return i.storeActions(func(f *memstore.Faults, on bool) { f.Outage = on })
	case FaultSlow:
		return i.storeActions(func(f *memstore.Faults, on bool) { f.ReplyDelay = onlyIf(on, storeDelay) })
	case FaultReplies:
		return i.storeActions(func(f *memstore.Faults, on bool) { f.LostReplies.Count = onlyIf(on, math.MaxInt) })
	case FaultLapse:
		return func() error { i.world.store.LapseAll(); return nil }, nil, nil
	case FaultVM, FaultStop, FaultCutOff:
		return i.vmActions(fault)
	default:
		return i.serverActions(fault)
	}
}

// storeActions change one fault of the store and leave the others.
func (i *injector) storeActions(set func(faults *memstore.Faults, on bool)) (begin, end func() error, err error) {
	change := func(on bool) func() error {
		return func() error {
			faults := i.world.store.Faults()
			set(&faults, on)
			i.world.store.SetFaults(faults)
			return nil
		}
	}
	return change(true), change(false), nil
}

// onlyIf returns the value if on, else zero.
func onlyIf[T any](on bool, value T) T {
	var zero T
	if on {
		return value
	}
	return zero
}

func (i *injector) vmActions(fault *Fault) (begin, end func() error, err error) {
	if fault.Target == "" {
		fault.Target = i.world.vms[len(i.world.vms)-1].settings.VM
	}
	target := i.world.vm(fault.Target)
	if target == nil {
		return nil, nil, &FaultError{fault.String(), "there is no such VM"}
	}
	end = func() error { i.listVMs(fault.Target, false); return target.start() }
	switch fault.Kind {
	case FaultStop:
		stopped := make(chan struct{})
		begin = func() error { i.listVMs(fault.Target, true); i.stop(target, stopped); return nil }
		end = func() error { <-stopped; i.listVMs(fault.Target, false); return target.start() }
	case FaultCutOff:
		begin = func() error { target.cutOff.Store(true); return nil }
		end = func() error { target.cutOff.Store(false); return nil }
	default:
		begin = func() error { target.kill(); i.listVMs(fault.Target, true); return nil }
	}
	return begin, end, nil
}

// stop stops a VM gracefully in the background and closes stopped then; wait
// collects the outcome.
func (i *injector) stop(target *vm, stopped chan<- struct{}) {
	i.stops.Go(func() {
		defer close(stopped)
		if err := target.shutdown(); err != nil {
			i.failed <- fmt.Errorf("stopping %s: %w", target.settings.VM, err)
		}
	})
}

// wait waits for the graceful stops and returns what went wrong.
func (i *injector) wait() error {
	i.stops.Wait()
	close(i.failed)
	var all []error
	for err := range i.failed {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// listVMs changes the platform's list: a lost VM disappears from it.
func (i *injector) listVMs(name string, lost bool) {
	var listed []platform.VM
	for _, v := range i.world.vms {
		if lost && v.settings.VM == name {
			continue
		}
		listed = append(listed, platformVM(v.settings))
	}
	i.world.store.SetVMs(listed)
}

func (i *injector) serverActions(fault *Fault) (begin, end func() error, err error) {
	if fault.Target == "" {
		fault.Target = i.chooseServer()
	}
	target := i.world.server(fault.Target)
	if target == nil {
		return nil, nil, &FaultError{fault.String(), "there is no such server"}
	}
	i.hit[fault.Target] = true
	switch fault.Kind {
	case FaultFreeze:
		begin = func() error { target.Freeze(); return nil }
		end = func() error { target.Thaw(); return nil }
	case FaultDrain:
		begin = func() error { return i.world.drain(fault.Target, true) }
		end = func() error { return i.world.drain(fault.Target, false) }
	default:
		begin = func() error { target.Kill(); return nil }
		end = target.Start
	}
	return begin, end, nil
}

// chooseServer returns the first server of a service divided by key that
// checks grants and that no fault has hit yet.
func (i *injector) chooseServer() string {
	divided := dividedServices(i.world.configuration)
	for _, server := range i.world.configuration.Servers {
		if divided[server.Service] && server.ChecksGrants && !i.hit[server.Name] {
			return server.Name
		}
	}
	return ""
}

// run carries out the steps.
func (i *injector) run(ctx context.Context, steps []step) error {
	begin := time.Now()
	for _, next := range steps {
		timer := time.NewTimer(time.Until(begin.Add(next.at)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return i.wait()
		case <-timer.C:
		}
		i.world.tell(next)
		if err := next.run(); err != nil {
			return errors.Join(fmt.Errorf("fault %s: %w", next.fault, err), i.wait())
		}
	}
	return i.wait()
}
