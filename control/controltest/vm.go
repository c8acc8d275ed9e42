package controltest

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// runTime is how long a request runs at a fake server.
const runTime = 40 * time.Millisecond

func (vm *VM) start() {
	f := vm.fleet
	vm.incarnation++
	vm.dead, vm.paused, vm.stopped, vm.Released = false, false, false, false
	vm.waiting = nil
	vm.routing = control.Routing{}
	vm.machine = control.New(control.Options{
		Self: vm.Name, Region: vm.Region, Zone: vm.Zone, Incarnation: strconv.Itoa(vm.incarnation),
	})
	if f.options.Mutate != nil {
		f.options.Mutate(vm.machine)
	}
	vm.step(f.accepted())
	vm.step(control.MembersChanged{Members: f.members()})
	for service, holder := range f.planners {
		if holder == vm.Name {
			vm.step(control.RoleChanged{Role: control.PlannerRole(service), Held: true})
		}
	}
}

// Kill ends the VM's process without a hand-over.
func (vm *VM) Kill() {
	if vm.dead {
		return
	}
	vm.dead = true
	incarnation := vm.incarnation
	vm.fleet.clock.After(vm.fleet.options.DetectionDelay, func() {
		if vm.dead && vm.incarnation == incarnation {
			vm.Alive = false
			vm.fleet.spreadMembers()
		}
	})
}

// Start starts a process on a VM whose process ended.
func (vm *VM) Start() {
	if !vm.dead {
		return
	}
	vm.Alive, vm.Leaving = true, false
	vm.start()
	vm.fleet.spreadMembers()
}

// Stop asks the process to hand over and end.
func (vm *VM) Stop() {
	vm.stopped = true
	vm.Leaving = true
	vm.step(control.StopRequested{})
	vm.fleet.spreadMembers()
}

// Pause freezes the process; what arrives waits until Resume.
func (vm *VM) Pause() { vm.paused = true }

// Resume lets a frozen process go on.
func (vm *VM) Resume() {
	if !vm.paused {
		return
	}
	vm.paused = false
	waiting := vm.waiting
	vm.waiting = nil
	for _, in := range waiting {
		vm.step(in)
	}
}

// Status returns the state of the VM's control plane.
func (vm *VM) Status() control.Status { return vm.machine.Status() }

// Explain returns what the VM knows of a key.
func (vm *VM) Explain(service, key string) control.Explanation {
	return vm.machine.Explain(service, key)
}

func (vm *VM) local() time.Duration { return vm.clock.read(vm.fleet.clock.now) }

// step feeds an input to the machine and carries out what it wants.
func (vm *VM) step(in control.Input) {
	switch {
	case vm.dead:
		return
	case vm.paused:
		vm.waiting = append(vm.waiting, in)
		return
	}
	vm.machine.Step(vm.local(), in)
	vm.tick()
}

func (vm *VM) tick() {
	vm.machine.Tick(vm.local())
	vm.carryOut(vm.machine.Ready())
}

func (vm *VM) carryOut(ready control.Ready) {
	f := vm.fleet
	for _, request := range ready.Reads {
		f.Store.read(vm, request)
	}
	for _, write := range ready.Writes {
		f.Store.write(vm, write)
	}
	for _, send := range ready.Grants {
		server := f.Server(send.Server)
		f.travel(vm.Name, send.Server, func() { server.receive(vm, send) })
	}
	for _, out := range ready.Messages {
		target := f.VM(out.To)
		f.travel(vm.Name, out.To, func() {
			target.step(control.MessageReceived{From: vm.Name, Message: out.Message})
		})
	}
	if ready.RoutingChanged {
		vm.routing = vm.machine.Routing()
		vm.finishSends(vm.routing.Generation)
	}
	vm.Events = append(vm.Events, ready.Events...)
	if len(vm.Events) > maxEvents {
		vm.Events = vm.Events[len(vm.Events)-maxEvents:]
	}
	if ready.TermsReleased && vm.stopped {
		vm.Released = true
	}
}

// maxEvents bounds the events kept of each VM.
const maxEvents = 300

// finishSends reports, after the run time of a request, that nothing sent
// under an earlier routing is in flight for the units that have left a server.
func (vm *VM) finishSends(generation uint64) {
	incarnation := vm.incarnation
	vm.fleet.clock.After(2*runTime, func() {
		if vm.incarnation != incarnation {
			return
		}
		for _, server := range vm.fleet.Servers {
			if !server.Config.ChecksGrants && !server.frozen {
				vm.step(control.SendsFinished{
					Service: server.Config.Service, Server: server.Config.Name, Generation: generation,
				})
			}
		}
	})
}

// isHome reports whether traffic on the VM may send to a server that does not
// check grants.
func (vm *VM) isHome(server *Server) bool {
	routed := vm.routed(server.Config.Service)
	if routed == nil {
		return false
	}
	for _, entry := range routed.Servers {
		if entry.Name == server.Config.Name {
			return vm.local() < entry.HomeUntil
		}
	}
	return false
}

// maySend reports whether a home sends requests for a unit to a server.
func (vm *VM) maySend(server *Server, id ownership.UnitID) bool {
	units := vm.routed(server.Config.Service).Units
	i, found := slices.BinarySearchFunc(units, id, func(unit control.UnitRouting, id ownership.UnitID) int {
		return int(int64(unit.ID) - int64(id))
	})
	return found && units[i].Owner == server.Config.Name && units[i].Servable
}

// routed returns what traffic on the VM knows of a service, nil while it rests.
func (vm *VM) routed(service string) *control.ServiceRouting {
	if vm.dead || vm.paused {
		return nil
	}
	i := slices.IndexFunc(vm.routing.Services, func(r control.ServiceRouting) bool { return r.Name == service })
	if i < 0 {
		return nil
	}
	return &vm.routing.Services[i]
}
