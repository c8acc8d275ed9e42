package controltest

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// requestDuration is the time that a request runs at a server that does not
// check grants.
const requestDuration = 40 * time.Millisecond

func (vm *VM) start() {
	f := vm.fleet
	vm.incarnation++
	vm.dead, vm.paused, vm.stopped, vm.Released = false, false, false, false
	vm.buffered = nil
	vm.routing = control.Routing{}
	vm.machine = control.New(control.Options{
		Self: vm.Name, Region: vm.Region, Zone: vm.Zone, Incarnation: strconv.Itoa(vm.incarnation),
	})
	if f.options.Mutate != nil {
		f.options.Mutate(vm.machine)
	}
	vm.step(f.configurationAccepted())
	vm.step(control.MembersChanged{Members: f.members()})
	for service, holder := range f.plannerVMs {
		if holder == vm.Name {
			vm.step(control.RoleChanged{Role: control.PlannerRole(service), Held: true})
		}
	}
}

// Kill ends the VM's process without a handover. The members learn of it after
// the detection delay.
func (vm *VM) Kill() {
	if vm.dead {
		return
	}
	vm.dead = true
	incarnation := vm.incarnation
	vm.fleet.clock.After(vm.fleet.options.DetectionDelay, func() {
		if vm.dead && vm.incarnation == incarnation {
			vm.Alive = false
			vm.fleet.broadcastMembers()
		}
	})
}

// Start starts a new process on a VM whose process has ended.
func (vm *VM) Start() {
	if !vm.dead {
		return
	}
	vm.Alive, vm.Leaving = true, false
	vm.start()
	vm.fleet.broadcastMembers()
}

// Stop asks the process to hand over its work and then end.
func (vm *VM) Stop() {
	vm.stopped = true
	vm.Leaving = true
	vm.step(control.StopRequested{})
	vm.fleet.broadcastMembers()
}

// Pause suspends the process. Inputs that arrive are buffered until Resume.
func (vm *VM) Pause() { vm.paused = true }

// Resume continues a paused process and delivers the buffered inputs.
func (vm *VM) Resume() {
	if !vm.paused {
		return
	}
	vm.paused = false
	buffered := vm.buffered
	vm.buffered = nil
	for _, in := range buffered {
		vm.step(in)
	}
}

// Status returns the status of the VM's control plane.
func (vm *VM) Status() control.Status { return vm.machine.Status() }

// Explain returns the VM's explanation of a key's ownership.
func (vm *VM) Explain(service, key string) control.Explanation {
	return vm.machine.Explain(service, key)
}

func (vm *VM) localTime() time.Duration { return vm.clock.read(vm.fleet.clock.now) }

// step passes an input to the machine and executes the resulting output.
func (vm *VM) step(in control.Input) {
	switch {
	case vm.dead:
		return
	case vm.paused:
		vm.buffered = append(vm.buffered, in)
		return
	}
	vm.machine.Step(vm.localTime(), in)
	vm.tick()
}

func (vm *VM) tick() {
	vm.machine.Tick(vm.localTime())
	vm.execute(vm.machine.Ready())
}

func (vm *VM) execute(ready control.Ready) {
	f := vm.fleet
	for _, request := range ready.Reads {
		f.Store.read(vm, request)
	}
	for _, write := range ready.Writes {
		f.Store.write(vm, write)
	}
	for _, send := range ready.Grants {
		server := f.Server(send.Server)
		f.deliver(vm.Name, send.Server, func() { server.receive(vm, send) })
	}
	for _, out := range ready.Messages {
		target := f.VM(out.To)
		f.deliver(vm.Name, out.To, func() {
			target.step(control.MessageReceived{From: vm.Name, Message: out.Message})
		})
	}
	if ready.RoutingChanged {
		vm.routing = vm.machine.Routing()
		vm.scheduleSendsFinished(vm.routing.Generation)
	}
	vm.Events = append(vm.Events, ready.Events...)
	if len(vm.Events) > maxEvents {
		vm.Events = vm.Events[len(vm.Events)-maxEvents:]
	}
	if ready.TermsReleased && vm.stopped {
		vm.Released = true
	}
}

// maxEvents limits the number of events kept for each VM.
const maxEvents = 300

// scheduleSendsFinished reports to the machine, after a delay that covers every
// request in flight, that no request sent under an earlier routing is still
// running for units that have left a server.
func (vm *VM) scheduleSendsFinished(generation uint64) {
	incarnation := vm.incarnation
	vm.fleet.clock.After(2*requestDuration, func() {
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

// isHome reports whether the VM is a home of a server that does not check
// grants: a VM whose traffic may send requests to it.
func (vm *VM) isHome(server *Server) bool {
	routed := vm.serviceRouting(server.Config.Service)
	if routed == nil {
		return false
	}
	for _, entry := range routed.Servers {
		if entry.Name == server.Config.Name {
			return vm.localTime() < entry.HomeUntil
		}
	}
	return false
}

// maySend reports whether the VM, as a home of the server, sends it requests
// for a unit.
func (vm *VM) maySend(server *Server, id ownership.UnitID) bool {
	units := vm.serviceRouting(server.Config.Service).Units
	i, found := slices.BinarySearchFunc(units, id, func(unit control.UnitRouting, id ownership.UnitID) int {
		return int(int64(unit.ID) - int64(id))
	})
	return found && units[i].Owner == server.Config.Name && units[i].Servable
}

// serviceRouting returns the routing that the VM's traffic uses for a service,
// or nil if it has none or the process is dead or paused.
func (vm *VM) serviceRouting(service string) *control.ServiceRouting {
	if vm.dead || vm.paused {
		return nil
	}
	i := slices.IndexFunc(vm.routing.Services, func(r control.ServiceRouting) bool { return r.Name == service })
	if i < 0 {
		return nil
	}
	return &vm.routing.Services[i]
}
