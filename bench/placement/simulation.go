package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"guavacrank.example/control/load"
	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
	"guavacrank.example/control/planner"
)

// deployment is the service divided by key of one of the two users.
type deployment struct {
	name    string
	servers int
	slots   int
	shards  uint32
}

// simulation drives one planner over a service on a virtual clock. Moves take
// effect at once: how long a move takes is the subject of bench/failover.
type simulation struct {
	page     ownership.Page
	servers  []planner.Server
	planner  *planner.Planner
	workload *workload
	random   *rand.Rand
	now      time.Duration
	moves    int
}

var plannerSettings = planner.Settings{HoldTime: 30 * time.Second, MovesPerMinute: 12, HotKeyShare: 20}

func newSimulation(d deployment, policy placement.Policy, seed uint64, withHot bool) *simulation {
	s := &simulation{
		planner:  planner.New(policy, plannerSettings, 0),
		workload: newWorkload(d.shards, withHot),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range d.servers {
		s.servers = append(s.servers, newServer(i, d.slots))
	}
	s.page.Shards = d.shards
	s.page.NextUnit = ownership.UnitID(d.shards)
	for shard := range d.shards {
		s.page.Units = append(s.page.Units, ownership.Unit{ID: ownership.UnitID(shard)})
	}
	s.apply(s.planner.Plan(0, s.view()))
	return s
}

func newServer(index, slots int) planner.Server {
	name := "server-" + string(rune('a'+index))
	return planner.Server{Name: name, Slots: slots, AcceptsUnits: true, KeepsUnits: true}
}

func (s *simulation) view() planner.View {
	return planner.View{Page: s.page, Servers: s.servers}
}

// run lets the given time pass in counting windows.
func (s *simulation) run(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.now += load.Window
		s.report()
		s.apply(s.planner.Plan(s.now, s.view()))
	}
}

// report draws what the VMs count in one window.
func (s *simulation) report() {
	seconds := load.Window.Seconds()
	for unit, share := range s.workload.unitShares(&s.page) {
		s.planner.AddUnitRequests(ownership.UnitID(unit), sample(s.random, share, seconds))
	}
	last := len(s.workload.keys) - 1
	for i := range reportedKeys {
		s.planner.AddKeyRequests(s.workload.keys[i], sample(s.random, s.workload.shares[i], seconds))
	}
	s.planner.AddKeyRequests(s.workload.keys[last], sample(s.random, s.workload.shares[last], seconds))
}

func (s *simulation) apply(plan planner.Plan) {
	for _, move := range plan.Moves {
		s.page.Units[s.position(move.Unit)].Owner = move.To
		s.moves++
	}
	for _, key := range plan.Isolate {
		s.isolate(key)
	}
	for _, key := range plan.Merge {
		s.merge(key)
	}
}

func (s *simulation) position(unit ownership.UnitID) int {
	return slices.IndexFunc(s.page.Units, func(u ownership.Unit) bool { return u.ID == unit })
}

func (s *simulation) isolate(key string) {
	i := s.workload.position[key]
	owner := s.page.Units[s.position(s.workload.shard[i])].Owner
	unit := s.page.NextUnit
	s.page.NextUnit++
	s.page.Units = append(s.page.Units, ownership.Unit{ID: unit, Owner: owner})
	s.page.Overrides = append(s.page.Overrides, ownership.Override{Key: key, Unit: unit})
}

func (s *simulation) merge(key string) {
	i := slices.IndexFunc(s.page.Overrides, func(o ownership.Override) bool { return o.Key == key })
	position := s.position(s.page.Overrides[i].Unit)
	s.page.Units = slices.Delete(s.page.Units, position, position+1)
	s.page.Overrides = slices.Delete(s.page.Overrides, i, i+1)
}

// imbalance is the greatest true load of a server over the mean.
func (s *simulation) imbalance() float64 {
	shares := s.workload.unitShares(&s.page)
	var servers []placement.Server
	for _, server := range s.servers {
		servers = append(servers, placement.Server{Name: server.Name, Capacity: float64(server.Slots), KeepsUnits: server.KeepsUnits})
	}
	var units []placement.Unit
	for _, unit := range s.page.Units {
		units = append(units, placement.Unit{ID: unit.ID, Owner: unit.Owner, Load: shares[unit.ID]})
	}
	return placement.Imbalance(servers, units)
}

// lose takes a server away and returns the number of units it owned.
func (s *simulation) lose(index int) int {
	s.servers[index].AcceptsUnits = false
	s.servers[index].KeepsUnits = false
	return s.owned(s.servers[index].Name)
}

// ownerOf returns the index of the server that owns a key.
func (s *simulation) ownerOf(key string) int {
	unit := s.workload.shard[s.workload.position[key]]
	for _, override := range s.page.Overrides {
		if override.Key == key {
			unit = override.Unit
		}
	}
	owner := s.page.Units[s.position(unit)].Owner
	return slices.IndexFunc(s.servers, func(server planner.Server) bool { return server.Name == owner })
}

// join adds a server and returns its name.
func (s *simulation) join(slots int) string {
	server := newServer(len(s.servers), slots)
	s.servers = append(s.servers, server)
	slices.SortFunc(s.servers, func(a, b planner.Server) int { return strings.Compare(a.Name, b.Name) })
	return server.Name
}

func (s *simulation) owned(server string) int {
	count := 0
	for _, unit := range s.page.Units {
		if unit.Owner == server {
			count++
		}
	}
	return count
}

// loadOf is a server's true share of the service's load.
func (s *simulation) loadOf(server string) float64 {
	shares := s.workload.unitShares(&s.page)
	total := 0.0
	for _, unit := range s.page.Units {
		if unit.Owner == server {
			total += shares[unit.ID]
		}
	}
	return total
}
