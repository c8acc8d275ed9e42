package limits

import (
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/bench/virtual"
)

// subsetSize is the number of VMs that send to one server under the subset policy.
const subsetSize = 3

// keyed measures one server, in zone 0, of a service divided by key: nobody
// else may serve its keys, so the ideal is one exact queue at the server.
func keyed(site Site, options Options) []report.Row {
	run := func(policy func(*virtual.Clock, Site, *simServer) asker) measurement {
		clock := virtual.NewClock(options.Seed)
		server := newSimServer(clock, 0, site.Slots, VMs)
		waits := arrivals(clock, site.Slots, options.Requests, allVMs(), policy(clock, site, server))
		return measurement{waits: waits, connections: server.open(), sheds: server.sheds, requests: options.Requests}
	}
	prefix := "limits." + site.Name + ".keyed"
	ideal := run(idealKeyed)
	var all []report.Row
	all = append(all, rows(prefix, site, "ideal", ideal, ideal, baseline)...)
	all = append(all, rows(prefix, site, "direct", run(directKeyed), ideal, baseline)...)
	all = append(all, rows(prefix, site, "subset", run(subsetKeyed), ideal, baseline)...)
	all = append(all, rows(prefix, site, "home-other-zone", run(homeKeyed(1)), ideal, baseline)...)
	all = append(all, rows(prefix, site, "home-same-zone", run(homeKeyed(0)), ideal, chosen)...)
	return all
}

func allVMs() []int {
	vms := make([]int, VMs)
	for vm := range vms {
		vms[vm] = vm
	}
	return vms
}

// idealKeyed is one queue at the server that every VM shares.
func idealKeyed(clock *virtual.Clock, site Site, server *simServer) asker {
	shared := newGate(clock, 0, server, site.Slots, 0)
	return through(clock, site, server, func(int) *gate { return shared }, func(int) int { return server.zone })
}

// through sends each request to a gate that stands in a zone.
func through(clock *virtual.Clock, site Site, server *simServer, gateOf func(vm int) *gate, zone func(vm int) int) asker {
	return func(vm int, service time.Duration, done func(time.Duration)) {
		hop := site.delay(zoneOf(vm), zone(vm))
		if zone(vm) == zoneOf(vm) && gateOf(vm).vm == vm && gateOf(vm).delay > 0 {
			hop = 0
		}
		network := 2 * site.delay(zoneOf(vm), server.zone)
		clock.After(hop, func() {
			gateOf(vm).request(service, func() { clock.After(hop, func() { done(network) }) })
		})
	}
}

// directKeyed lets each VM send within a local adaptive limit.
func directKeyed(clock *virtual.Clock, site Site, server *simServer) asker {
	gates := make([]*gate, VMs)
	for vm := range gates {
		gates[vm] = newGate(clock, vm, server, site.shares().Direct, site.delay(zoneOf(vm), server.zone))
	}
	return through(clock, site, server, func(vm int) *gate { return gates[vm] }, zoneOf)
}

// subsetKeyed lets a few VMs of the server's region send, each with its part
// of the slots; the others forward to them.
func subsetKeyed(clock *virtual.Clock, site Site, server *simServer) asker {
	members := []int{0, 1, 4}
	gates := make(map[int]*gate)
	for _, vm := range members {
		gates[vm] = newGate(clock, vm, server, (site.Slots+subsetSize-1)/subsetSize, site.delay(zoneOf(vm), server.zone))
	}
	member := func(vm int) int {
		if gates[vm] != nil {
			return vm
		}
		return members[vm%subsetSize]
	}
	return through(clock, site, server,
		func(vm int) *gate { return gates[member(vm)] },
		func(vm int) int { return zoneOf(member(vm)) })
}

// homeKeyed lets one VM of a zone queue exactly; the others forward to it.
func homeKeyed(home int) func(*virtual.Clock, Site, *simServer) asker {
	return func(clock *virtual.Clock, site Site, server *simServer) asker {
		only := newGate(clock, home, server, site.shares().Home, site.delay(zoneOf(home), server.zone))
		only.exact = true
		return through(clock, site, server, func(int) *gate { return only }, func(int) int { return zoneOf(home) })
	}
}
