package demo

import (
	"context"
	"fmt"
	"math"
	"slices"
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
	case FaultVM:
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
	begin = func() error { target.kill(); i.listVMs(fault.Target, true); return nil }
	end = func() error { i.listVMs(fault.Target, false); return target.start() }
	return begin, end, nil
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
	if fault.Kind == FaultFreeze {
		begin = func() error { target.Freeze(); return nil }
		end = func() error { target.Thaw(); return nil }
		return begin, end, nil
	}
	begin = func() error { target.Kill(); return nil }
	return begin, target.Start, nil
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
			return nil
		case <-timer.C:
		}
		i.world.tell(next)
		if err := next.run(); err != nil {
			return fmt.Errorf("fault %s: %w", next.fault, err)
		}
	}
	return nil
}
