package tick

import (
	"fmt"
	"time"

	"guavacrank.example/backend/fence"
	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// vm is the measured machine with servers that answer at once.
type vm struct {
	size    Size
	machine *control.Machine
	now     time.Duration
	fences  map[string]*fence.Fence
	busy    time.Duration // Time spent inside the machine.
	ticks   int
}

func newVM(size Size) *vm {
	return &vm{
		size: size, fences: make(map[string]*fence.Fence),
		machine: control.New(control.Options{Self: vmName(0), Region: "one", Zone: "a", Incarnation: "1"}),
	}
}

func vmName(i int) string { return fmt.Sprintf("vm-%02d", i%vms) }

// services returns how many services the shards need.
func (s Size) services() int { return (s.Shards + config.MaxShards - 1) / config.MaxShards }

// start brings a configuration, the VMs and every page into the machine.
func (v *vm) start() {
	configuration := &config.Configuration{Defaults: config.DefaultDefaults()}
	services := v.size.services()
	perService := v.size.Servers / services
	members := make([]control.Member, vms)
	for i := range members {
		members[i] = control.Member{Name: vmName(i), Region: "one", Zone: string(rune('a' + i%2)), Alive: true}
	}
	var pages []ownership.Page
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		shards := min(config.MaxShards, v.size.Shards-i*config.MaxShards)
		configuration.Services = append(configuration.Services, config.Service{Name: name, DividedByKey: true, Shards: shards})
		owners := make([]string, shards)
		var entries []ownership.Server
		for j := range perService {
			declared := config.Server{
				Name: fmt.Sprintf("%s-%04d", name, j), Service: name, Address: "127.0.0.1:1",
				Region: "one", Zone: "b", Slots: 4, ChecksGrants: true,
			}
			configuration.Servers = append(configuration.Servers, declared)
			entries = append(entries, ownership.Server{Name: declared.Name, Term: 1, Grantor: vmName(i*perService + j)})
		}
		for j := range owners {
			owners[j] = entries[j%perService].Name
		}
		if page, err := ownership.New(name, entries, owners); err == nil {
			pages = append(pages, page)
		}
	}
	v.step(control.ConfigurationAccepted{Revision: 1, Configuration: configuration})
	v.step(control.MembersChanged{Members: members})
	for _, page := range pages {
		v.step(control.PageRead{Service: page.Service, Version: 1, Page: page})
	}
	v.run(time.Second)
}

func (v *vm) step(in control.Input) {
	began := time.Now()
	v.machine.Step(v.now, in)
	v.busy += time.Since(began)
}

// run lets time pass, a tick at each interval.
func (v *vm) run(length time.Duration) {
	for end := v.now + length; v.now < end; v.now += control.TickInterval {
		began := time.Now()
		v.machine.Tick(v.now)
		ready := v.machine.Ready()
		v.busy += time.Since(began)
		v.ticks++
		v.answer(ready)
	}
}

func (v *vm) answer(ready control.Ready) {
	for _, read := range ready.Reads {
		v.step(control.PageRead{Service: read.Service, Request: read.Request, Version: 1})
	}
	for _, send := range ready.Grants {
		server := v.fences[send.Server]
		if server == nil {
			server = fence.New("boot")
			v.fences[send.Server] = server
		}
		v.step(control.GrantAnswered{
			Server: send.Server, Sequence: send.Order.Sequence, Reached: true,
			Answer: server.Step(send.Order, v.now.Milliseconds()+1),
		})
	}
}
