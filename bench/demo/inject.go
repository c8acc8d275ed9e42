package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/event"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

// injector causes the faults of a run at their times.
type injector struct {
	world *world
	list  []Fault
	steps []step
	// chosen names the servers that a fault is caused at.
	chosen map[string]bool
	// under are the actions under way, failed what they reported.
	under  sync.WaitGroup
	failed chan error

	mu      sync.Mutex
	leaving []leaving
}

// leaving is the time in which a server was drained, on the stand-ins' clock.
type leaving struct {
	server string
	from   time.Duration // When the drain was accepted.
	until  time.Duration // Zero: it lasts.
}

// newInjector returns an injector for a list of faults. It fails with a
// *FaultError for a target that does not exist.
func newInjector(w *world, faults []Fault) (*injector, error) {
	i := &injector{
		world:  w,
		list:   slices.Clone(faults),
		chosen: make(map[string]bool),
		failed: make(chan error, 2*len(faults)),
	}
	return i, i.plan()
}

func (i *injector) faults() []Fault      { return i.list }
func (i *injector) hit() map[string]bool { return i.chosen }

func (i *injector) drained() []leaving {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.leaving)
}

// step is one action of a fault at a time from the start of the load.
type step struct {
	at    time.Duration
	run   func() error
	event event.Number
	fault string
}

// plan resolves the targets and puts the steps in order of time.
func (i *injector) plan() error {
	for n := range i.list {
		fault := &i.list[n]
		begin, end, err := i.actions(fault)
		if err != nil {
			return err
		}
		i.steps = append(i.steps, step{fault.Start, begin, event.StandinFault, fault.String()})
		if fault.End != 0 {
			i.steps = append(i.steps, step{fault.End, end, event.StandinFaultEnded, fault.String()})
		}
	}
	slices.SortStableFunc(i.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return nil
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

// stop stops a VM gracefully and closes stopped then.
func (i *injector) stop(target *vm, stopped chan<- struct{}) {
	i.background(func() error {
		defer close(stopped)
		if err := target.shutdown(); err != nil {
			return fmt.Errorf("stopping %s: %w", target.settings.VM, err)
		}
		return nil
	})
}

// background runs an action that takes its time; wait collects its outcome.
func (i *injector) background(action func() error) {
	i.under.Go(func() {
		if err := action(); err != nil {
			i.failed <- err
		}
	})
}

// wait waits for the actions under way and returns what went wrong.
func (i *injector) wait() error {
	i.under.Wait()
	close(i.failed)
	var all []error
	for err := range i.failed {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// listVMs changes the platform's list: a lost VM disappears from it.
func (i *injector) listVMs(name string, lost bool) {
	var listed []kvstore.VM
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
	i.chosen[fault.Target] = true
	switch fault.Kind {
	case FaultFreeze:
		begin = func() error { target.Freeze(); return nil }
		end = func() error { target.Thaw(); return nil }
	case FaultDrain:
		return i.drainActions(fault.Target)
	default:
		begin = func() error { target.Kill(); return nil }
		end = target.Start
	}
	return begin, end, nil
}

// drainActions drain a server in the background, since a slow store makes an
// operator wait.
func (i *injector) drainActions(server string) (begin, end func() error, err error) {
	drained := make(chan struct{})
	begin = func() error {
		i.background(func() error {
			defer close(drained)
			err := i.world.drain(server, true)
			if err == nil {
				i.leave(server)
			}
			return err
		})
		return nil
	}
	end = func() error {
		i.background(func() error {
			<-drained
			i.stay(server)
			return i.world.drain(server, false)
		})
		return nil
	}
	return begin, end, nil
}

// leave notes that a drain was accepted now.
func (i *injector) leave(server string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = append(i.leaving, leaving{server: server, from: standin.BootTime()})
}

// stay notes that a drain ends.
func (i *injector) stay(server string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.leaving {
		if i.leaving[n].server == server {
			i.leaving[n].until = standin.BootTime()
		}
	}
}

// chooseServer returns the first server of a service divided by key that
// checks grants and that no fault has hit yet.
func (i *injector) chooseServer() string {
	divided := dividedServices(i.world.configuration)
	for _, server := range i.world.configuration.Servers {
		if divided[server.Service] && server.ChecksGrants && !i.chosen[server.Name] {
			return server.Name
		}
	}
	return ""
}

// run carries out the steps.
func (i *injector) run(ctx context.Context) error {
	begin := time.Now()
	for _, next := range i.steps {
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
