package limits

import (
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/bench/virtual"
	"guavacrank.example/traffic/pick"
)

// unkeyed measures one region's part of a service that is not divided by key:
// any server may serve a request, so the ideal is one queue over all servers.
func unkeyed(site Site, options Options) []report.Row {
	run := func(policy func(*pool) asker) measurement {
		p := newPool(site, options.Seed)
		waits := arrivals(p.clock, site.Slots*len(p.servers), options.Requests, p.vms, policy(p))
		m := measurement{waits: waits, requests: options.Requests}
		for _, server := range p.servers {
			m.connections = max(m.connections, server.open())
			m.sheds += server.sheds
		}
		return m
	}
	prefix := "limits." + site.Name + ".unkeyed"
	ideal := run((*pool).ideal)
	var all []report.Row
	all = append(all, rows(prefix, site, "ideal", ideal, ideal, baseline)...)
	all = append(all, rows(prefix, site, "direct", run((*pool).direct), ideal, baseline)...)
	all = append(all, rows(prefix, site, "home", run(func(p *pool) asker { return p.home(0) }), ideal, baseline)...)
	all = append(all, rows(prefix, site, "home-refusing", run(func(p *pool) asker { return p.home(refusals) }), ideal, baseline)...)
	all = append(all, rows(prefix, site, "region-home", run((*pool).regionHome), ideal, baseline)...)
	all = append(all, rows(prefix, site, "zone-home", run(func(p *pool) asker { return p.zoneHomes(refusals) }), ideal, chosen)...)
	return all
}

const (
	// refusals is how many homes may refuse a request that would wait.
	refusals = 2
	// maxWait is the expected wait that a home refuses.
	maxWait = 1500 * time.Microsecond
)

// pool is the servers of one service in the first region, and its VMs.
type pool struct {
	site    Site
	clock   *virtual.Clock
	servers []*simServer
	vms     []int
}

func newPool(site Site, seed uint64) *pool {
	p := &pool{site: site, clock: virtual.NewClock(seed)}
	for i := range site.Servers / 2 {
		p.servers = append(p.servers, newSimServer(p.clock, i%2, site.Slots, VMs))
	}
	for vm := range VMs {
		if zoneOf(vm) < 2 {
			p.vms = append(p.vms, vm)
		}
	}
	return p
}

// ideal is one exact queue over all servers, as if it stood at each of them.
func (p *pool) ideal() asker {
	slots := p.site.Slots * len(p.servers)
	all := newGate(p.clock, 0, newSimServer(p.clock, 0, slots, VMs), slots, 0)
	return func(_ int, service time.Duration, done func(time.Duration)) {
		all.request(service, func() { done(0) })
	}
}

// view is what one VM sees of the servers.
type view struct {
	pool       *pool
	vm         int
	candidates []pick.Candidate
	gates      []*gate // By server.
	hops       []time.Duration
}

func (p *pool) view(vm int, gates []*gate) *view {
	v := &view{pool: p, vm: vm, gates: gates}
	for _, g := range gates {
		v.candidates = append(v.candidates, pick.Candidate{Server: pick.NewServer(), Slots: p.site.Slots * len(g.group), Local: true})
	}
	return v
}

// request is one request on its way through a view.
type request struct {
	*view
	service time.Duration
	done    func(network time.Duration)
	tried   []bool
}

// send picks a server and sends through its gate, which may refuse at first
// when the request would wait.
func (r *request) send(refusals int) {
	clock := r.pool.clock
	candidates := append([]pick.Candidate(nil), r.candidates...)
	for i := range candidates {
		candidates[i].Excluded = r.tried[i]
	}
	at := pick.Choose(clock.Now(), candidates, clock.Random().Uint64())
	if at < 0 { // Every home refused: wait at the one that seems best.
		clear(r.tried)
		r.send(0)
		return
	}
	began, server, hop := clock.Now(), r.candidates[at].Server, r.hops[at]
	server.BeginRequest()
	clock.After(hop, func() {
		g := r.gates[at]
		if refusals > 0 && g.wait() > maxWait {
			held := g.held()
			clock.After(hop, func() {
				server.EndRequest(clock.Now(), pick.Canceled, 0)
				server.ReportBacklog(clock.Now(), held)
				r.tried[at] = true
				r.send(refusals - 1)
			})
			return
		}
		g.request(r.service, func() {
			held := g.held()
			clock.After(hop, func() {
				server.EndRequest(clock.Now(), pick.Succeeded, clock.Now()-began)
				if hop > 0 {
					server.ReportBacklog(clock.Now(), held)
				}
				r.done(2 * r.pool.site.delay(zoneOf(r.vm), g.group[0].zone))
			})
		})
	})
}

func asking(views map[int]*view, refusals int) asker {
	return func(vm int, service time.Duration, done func(time.Duration)) {
		v := views[vm]
		r := &request{view: v, service: service, done: done, tried: make([]bool, len(v.gates))}
		r.send(refusals)
	}
}

// direct lets every VM send within its local adaptive limits.
func (p *pool) direct() asker {
	views := make(map[int]*view)
	for _, vm := range p.vms {
		var gates []*gate
		for _, server := range p.servers {
			gates = append(gates, newGate(p.clock, vm, server, p.site.shares().Direct, p.site.delay(zoneOf(vm), server.zone)))
		}
		views[vm] = p.view(vm, gates)
		views[vm].hops = make([]time.Duration, len(gates))
	}
	return asking(views, 0)
}

// home lets one VM in each server's zone queue exactly; every VM picks a
// server by what it sees, and by the homes' word on their queues.
func (p *pool) home(refusals int) asker {
	gates, homes := make([]*gate, len(p.servers)), make([]int, len(p.servers))
	for i, server := range p.servers {
		homes[i] = p.vms[i]
		gates[i] = newGate(p.clock, homes[i], server, p.site.shares().Home, p.site.delay(zoneOf(homes[i]), server.zone))
		gates[i].exact = true
	}
	return p.throughHomes(gates, homes, refusals)
}

// throughHomes lets every VM send through gates that stand at homes.
func (p *pool) throughHomes(gates []*gate, homes []int, refusals int) asker {
	views := make(map[int]*view)
	for _, vm := range p.vms {
		v := p.view(vm, gates)
		for _, home := range homes {
			hop := p.site.delay(zoneOf(vm), zoneOf(home))
			if home == vm {
				hop = 0
			}
			v.hops = append(v.hops, hop)
		}
		views[vm] = v
	}
	return asking(views, refusals)
}

// regionHome lets one VM queue exactly for all servers of the region.
func (p *pool) regionHome() asker {
	only := newGroupGate(p.clock, 0, p.servers, p.site.Slots*len(p.servers), p.site.delay(0, 1))
	return p.throughHomes([]*gate{only}, []int{0}, 0)
}

// zoneHomes lets one VM in each zone queue exactly for the zone's servers.
func (p *pool) zoneHomes(refusals int) asker {
	var gates []*gate
	homes := []int{0, 1}
	for _, home := range homes {
		var group []*simServer
		for _, server := range p.servers {
			if server.zone == zoneOf(home) {
				group = append(group, server)
			}
		}
		g := newGroupGate(p.clock, home, group, p.site.Slots*len(group), Within)
		g.exact = true
		gates = append(gates, g)
	}
	return p.throughHomes(gates, homes, refusals)
}
