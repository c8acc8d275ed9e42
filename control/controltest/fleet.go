package controltest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// StoreName is the host name of the store, for Cut.
const StoreName = "store"

// Options set up a Fleet.
type Options struct {
	Configuration config.Configuration
	VMs           []control.Member
	// StoreRegion and StoreZone say where the store stands.
	StoreRegion, StoreZone string
	// ZoneDelay and RegionDelay are one-way delays.
	ZoneDelay, RegionDelay time.Duration
	// DetectionDelay is how long the fleet's probes take to notice a lost VM.
	DetectionDelay time.Duration
	// PropagationDelay is the delay of a page by watch and relay to the VMs.
	PropagationDelay time.Duration
	Seed             uint64
	// ClockErrorPPM is the greatest rate error of a clock in parts of a million.
	ClockErrorPPM int64
	// UnconfiguredServers are backend servers that exist but that the configuration does
	// not name yet.
	UnconfiguredServers []config.Server
	// SimulateRequests makes the servers that check grants run requests, which takes time.
	SimulateRequests bool
	// Mutate, when set, is called with each new Machine.
	Mutate func(*control.Machine)
}

// Fleet is a set of VMs, backend servers and a store on one virtual clock.
type Fleet struct {
	options     Options
	clock       Clock
	random      *rand.Rand
	callTimeout time.Duration
	Store       *Store
	VMs         []*VM
	Servers     []*Server
	places      map[string]place
	cut         map[[2]string]bool // Links between regions, zones or hosts that drop everything.
	// DropPercent, RepeatPercent and JitterMax are applied to every message.
	DropPercent      int
	DuplicatePercent int
	MaxJitter        time.Duration
	planners         map[string]string
	checker          *checker
	revision         config.Revision
}

type place struct{ region, zone string }

// VM is one VM with its Machine.
type VM struct {
	control.Member
	fleet       *Fleet
	machine     *control.Machine
	clock       hostClock
	incarnation int
	dead        bool
	paused      bool
	waiting     []control.Input
	// routing is what traffic on the VM works with; Released is the answer to Stop.
	routing  control.Routing
	Released bool
	stopped  bool
	Events   []event.Event
}

// New returns a fleet at time zero, with every VM started.
func New(options Options) *Fleet {
	f := &Fleet{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)),
		callTimeout: 500 * time.Millisecond, places: make(map[string]place),
		cut: make(map[[2]string]bool), planners: make(map[string]string), revision: 1,
	}
	f.checker = newChecker(f)
	f.Store = &Store{fleet: f, pages: make(map[string]storedPage)}
	f.places[StoreName] = place{options.StoreRegion, options.StoreZone}
	for _, declared := range slices.Concat(options.Configuration.Servers, options.UnconfiguredServers) {
		server := &Server{fleet: f, Config: declared, clock: f.newClock()}
		server.Restart()
		f.Servers = append(f.Servers, server)
		f.places[declared.Name] = place{declared.Region, declared.Zone}
	}
	for _, member := range options.VMs {
		member.Alive = true
		vm := &VM{Member: member, fleet: f, clock: f.newClock()}
		f.VMs = append(f.VMs, vm)
		f.places[member.Name] = place{member.Region, member.Zone}
	}
	for _, vm := range f.VMs {
		vm.start()
	}
	f.electPlanners()
	f.clock.After(control.TickInterval, f.tick)
	f.clock.After(checkInterval, f.check)
	f.clock.After(repairInterval, f.repair)
	return f
}

func (f *Fleet) newClock() hostClock {
	clock := hostClock{offset: time.Duration(f.random.Int64N(int64(time.Hour)))}
	if f.options.ClockErrorPPM > 0 {
		clock.ppm = f.random.Int64N(2*f.options.ClockErrorPPM+1) - f.options.ClockErrorPPM
	}
	return clock
}

func (f *Fleet) chance(percent int) bool { return percent > 0 && f.random.IntN(100) < percent }

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.clock.now }

// Run lets time pass.
func (f *Fleet) Run(length time.Duration) { f.clock.RunUntil(f.clock.now + length) }

// After schedules a call.
func (f *Fleet) After(delay time.Duration, run func()) { f.clock.After(delay, run) }

func (f *Fleet) tick() {
	for _, vm := range f.VMs {
		if !vm.dead && !vm.paused {
			vm.tick()
		}
	}
	f.clock.After(control.TickInterval, f.tick)
}

// checkInterval is the time between two checks of the invariants.
const checkInterval = 5 * time.Millisecond

func (f *Fleet) check() {
	if f.options.SimulateRequests {
		f.work()
	}
	f.checker.check()
	f.clock.After(checkInterval, f.check)
}

// repairInterval is the time between two exchanges by which a VM that missed
// the configuration in force gets it.
const repairInterval = time.Second

func (f *Fleet) repair() {
	for _, vm := range f.VMs {
		f.travel(StoreName, vm.Name, func() { vm.step(f.accepted()) })
	}
	f.clock.After(repairInterval, f.repair)
}

// longestRun is the longest time that a run of Work takes.
const longestRun = 400 * time.Millisecond

// work begins a run at a unit of each server that checks grants.
func (f *Fleet) work() {
	for _, server := range f.Servers {
		server.endRuns()
		page, version := f.Store.Page(server.Config.Service)
		if version != 0 {
			unit := page.Units[f.random.IntN(len(page.Units))]
			server.work(unit.ID, time.Duration(f.random.Int64N(int64(longestRun))))
		}
	}
}

// travel carries a call from one host to another, if the network lets it.
func (f *Fleet) travel(from, to string, arrive func()) {
	if f.isCut(from, to) || f.chance(f.DropPercent) {
		return
	}
	f.clock.After(f.delay(from, to), arrive)
	if f.chance(f.DuplicatePercent) {
		f.clock.After(f.delay(from, to)+f.MaxJitter, arrive)
	}
}

func (f *Fleet) delay(from, to string) time.Duration {
	a, b := f.places[from], f.places[to]
	delay := f.options.ZoneDelay / 2
	switch {
	case a.region != b.region:
		delay = f.options.RegionDelay
	case a.zone != b.zone:
		delay = f.options.ZoneDelay
	}
	if f.MaxJitter > 0 {
		delay += time.Duration(f.random.Int64N(int64(f.MaxJitter)))
	}
	return delay
}

// Partition drops everything between two regions, zones or hosts, until Heal.
func (f *Fleet) Partition(a, b string) { f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = true, true }

// Heal ends every Cut.
func (f *Fleet) Heal() { clear(f.cut) }

func (f *Fleet) isCut(from, to string) bool {
	if len(f.cut) == 0 {
		return false
	}
	a, b := f.places[from], f.places[to]
	for _, x := range []string{from, a.zone, a.region} {
		for _, y := range []string{to, b.zone, b.region} {
			if f.cut[[2]string{x, y}] {
				return true
			}
		}
	}
	return false
}

// Configure brings a changed configuration into force on every VM.
func (f *Fleet) Configure(change func(*config.Configuration)) {
	next := f.options.Configuration
	next.Servers = slices.Clone(next.Servers)
	next.Lost = slices.Clone(next.Lost)
	change(&next)
	f.options.Configuration = next
	f.revision++
	for _, vm := range f.VMs {
		f.travel(StoreName, vm.Name, func() { vm.step(f.accepted()) })
	}
}

func (f *Fleet) accepted() control.ConfigurationAccepted {
	configuration := f.options.Configuration
	return control.ConfigurationAccepted{Revision: f.revision, Configuration: &configuration}
}

// members is the fleet's membership: the dead are noticed after Suspicion.
func (f *Fleet) members() []control.Member {
	list := make([]control.Member, 0, len(f.VMs))
	for _, vm := range f.VMs {
		list = append(list, vm.Member)
	}
	return list
}

func (f *Fleet) spreadMembers() {
	for _, vm := range f.VMs {
		vm.step(control.MembersChanged{Members: f.members()})
	}
	f.electPlanners()
}

// electPlanners gives each planner's role to the first VM that is not known dead.
func (f *Fleet) electPlanners() {
	for _, declared := range f.options.Configuration.Services {
		i := slices.IndexFunc(f.VMs, func(vm *VM) bool { return vm.Alive && !vm.Leaving })
		if i < 0 || f.planners[declared.Name] == f.VMs[i].Name {
			continue
		}
		f.planners[declared.Name] = f.VMs[i].Name
		for j, vm := range f.VMs {
			vm.step(control.RoleChanged{Role: control.PlannerRole(declared.Name), Held: i == j})
		}
	}
}

// spread brings a changed page to every VM by the fleet's own way.
func (f *Fleet) spread(service string) {
	for _, vm := range f.VMs {
		f.clock.After(f.options.PropagationDelay+f.delay(StoreName, vm.Name), func() {
			if f.isCut(StoreName, vm.Name) || f.Store.Down {
				return
			}
			page, version := f.Store.Page(service)
			vm.step(control.PageRead{Service: service, Version: version, Page: page.Clone()})
		})
	}
}

// VM returns a VM by name.
func (f *Fleet) VM(name string) *VM {
	return f.VMs[slices.IndexFunc(f.VMs, func(vm *VM) bool { return vm.Name == name })]
}

// Server returns a backend server by name.
func (f *Fleet) Server(name string) *Server {
	return f.Servers[slices.IndexFunc(f.Servers, func(s *Server) bool { return s.Config.Name == name })]
}

// Grantor returns the VM that holds a server's term in the store.
func (f *Fleet) Grantor(service, server string) string {
	page, _ := f.Store.Page(service)
	return page.Server(server).Grantor
}

// Violations returns what broke an invariant.
func (f *Fleet) Violations() []string { return f.checker.violations }

// Unserved returns the units that nobody serves now.
func (f *Fleet) Unserved(service string) []ownership.UnitID { return f.checker.unserved(service) }

// Outages returns the longest time for which each unit was not served since
// the last ResetOutages.
func (f *Fleet) Outages(service string) map[ownership.UnitID]time.Duration {
	return f.checker.outages[service]
}

// ResetOutages begins a new measurement.
func (f *Fleet) ResetOutages() { f.checker.resetOutages() }

// EventLog returns the events of every VM, for a failed run.
func (f *Fleet) EventLog() string {
	var text strings.Builder
	for _, vm := range f.VMs {
		for _, e := range vm.Events {
			fmt.Fprintf(&text, "%s %d %s %v\n", vm.Name, e.Number, e.Cause, e.Fields)
		}
	}
	return text.String()
}

// AddPlanner gives a VM the role of a planner beside the present one.
func (f *Fleet) AddPlanner(service, vm string) {
	f.VM(vm).step(control.RoleChanged{Role: control.PlannerRole(service), Held: true})
}

// Suspect makes the fleet's probes report a live VM as lost, or end that.
func (f *Fleet) Suspect(name string, suspected bool) {
	if vm := f.VM(name); !vm.dead {
		vm.Alive = !suspected
		f.spreadMembers()
	}
}

// ReportLoad feeds a VM's count of requests of a frequent key.
func (f *Fleet) ReportLoad(vm, service, key string, requests uint32) {
	page, version := f.Store.Page(service)
	if version == 0 {
		return
	}
	f.VM(vm).step(control.LoadMeasured{
		Service: service, Period: time.Second,
		Units:   []control.UnitLoad{{Unit: page.UnitOf(key).ID, Requests: requests}},
		HotKeys: []control.KeyLoad{{Key: key, Requests: requests}},
	})
}
