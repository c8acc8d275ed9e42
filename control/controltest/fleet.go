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

// StoreName is the store's host name, for Partition.
const StoreName = "store"

// Options configure a Fleet.
type Options struct {
	Configuration config.Configuration
	VMs           []control.Member
	// StoreRegion and StoreZone are the store's location.
	StoreRegion, StoreZone string
	// ZoneDelay and RegionDelay are the one-way network delays between
	// availability zones of one region and between regions.
	ZoneDelay, RegionDelay time.Duration
	// DetectionDelay is the time until the membership protocol reports a VM as
	// lost.
	DetectionDelay time.Duration
	// PropagationDelay is the additional delay of a changed page on its way to the
	// VMs, by watch and relay.
	PropagationDelay time.Duration
	Seed             uint64
	// ClockErrorPPM is the maximum rate error of a clock in parts per million.
	ClockErrorPPM int64
	// UnconfiguredServers are backend servers that exist but are not in the
	// configuration yet.
	UnconfiguredServers []config.Server
	// SimulateRequests makes the servers that check grants run requests, so that
	// units have requests in flight when they move.
	SimulateRequests bool
	// Mutate, if set, is called with each new Machine, for example to disable a
	// rule.
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
	locations   map[string]location
	partitions  map[[2]string]bool // Pairs of regions, zones or hosts between which every message is dropped.
	// DropPercent, DuplicatePercent and MaxJitter apply to every message.
	DropPercent      int
	DuplicatePercent int
	MaxJitter        time.Duration
	plannerVMs       map[string]string
	checker          *checker
	revision         config.Revision
}

type location struct{ region, zone string }

// VM is a simulated VM with its Machine.
type VM struct {
	control.Member
	fleet       *Fleet
	machine     *control.Machine
	clock       hostClock
	incarnation int
	dead        bool
	paused      bool
	buffered    []control.Input
	// routing is the routing that the VM's traffic uses. Released is set when the
	// process, after Stop, has handed over all its terms.
	routing  control.Routing
	Released bool
	stopped  bool
	Events   []event.Event
}

// New returns a fleet at time zero with every VM started.
func New(options Options) *Fleet {
	f := &Fleet{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)),
		callTimeout: 500 * time.Millisecond, locations: make(map[string]location),
		partitions: make(map[[2]string]bool), plannerVMs: make(map[string]string), revision: 1,
	}
	f.checker = newChecker(f)
	f.Store = &Store{fleet: f, pages: make(map[string]storedPage)}
	f.locations[StoreName] = location{options.StoreRegion, options.StoreZone}
	for _, declared := range slices.Concat(options.Configuration.Servers, options.UnconfiguredServers) {
		server := &Server{fleet: f, Config: declared, clock: f.newClock()}
		server.Restart()
		f.Servers = append(f.Servers, server)
		f.locations[declared.Name] = location{declared.Region, declared.Zone}
	}
	for _, member := range options.VMs {
		member.Alive = true
		vm := &VM{Member: member, fleet: f, clock: f.newClock()}
		f.VMs = append(f.VMs, vm)
		f.locations[member.Name] = location{member.Region, member.Zone}
	}
	for _, vm := range f.VMs {
		vm.start()
	}
	f.electPlanners()
	f.clock.After(control.TickInterval, f.tick)
	f.clock.After(checkInterval, f.check)
	f.clock.After(configurationInterval, f.resendConfiguration)
	return f
}

func (f *Fleet) newClock() hostClock {
	clock := hostClock{offset: time.Duration(f.random.Int64N(int64(time.Hour)))}
	if f.options.ClockErrorPPM > 0 {
		clock.driftPPM = f.random.Int64N(2*f.options.ClockErrorPPM+1) - f.options.ClockErrorPPM
	}
	return clock
}

func (f *Fleet) chance(percent int) bool { return percent > 0 && f.random.IntN(100) < percent }

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.clock.now }

// Run advances the virtual clock by length.
func (f *Fleet) Run(length time.Duration) { f.clock.RunUntil(f.clock.now + length) }

// After schedules a call after a delay.
func (f *Fleet) After(delay time.Duration, run func()) { f.clock.After(delay, run) }

func (f *Fleet) tick() {
	for _, vm := range f.VMs {
		if !vm.dead && !vm.paused {
			vm.tick()
		}
	}
	f.clock.After(control.TickInterval, f.tick)
}

// checkInterval is the interval between checks of the invariants.
const checkInterval = 5 * time.Millisecond

func (f *Fleet) check() {
	if f.options.SimulateRequests {
		f.beginRequests()
	}
	f.checker.check()
	f.clock.After(checkInterval, f.check)
}

// configurationInterval is the interval at which the configuration in force is
// sent to every VM, for those that missed it.
const configurationInterval = time.Second

func (f *Fleet) resendConfiguration() {
	for _, vm := range f.VMs {
		f.deliver(StoreName, vm.Name, func() { vm.step(f.configurationAccepted()) })
	}
	f.clock.After(configurationInterval, f.resendConfiguration)
}

// maxRequestDuration is the maximum duration of a simulated request.
const maxRequestDuration = 400 * time.Millisecond

// beginRequests tries to start a request for a random unit on each server that
// checks grants.
func (f *Fleet) beginRequests() {
	for _, server := range f.Servers {
		server.endRequests()
		page, version := f.Store.Page(server.Config.Service)
		if version != 0 {
			unit := page.Units[f.random.IntN(len(page.Units))]
			server.beginRequest(unit.ID, time.Duration(f.random.Int64N(int64(maxRequestDuration))))
		}
	}
}

// deliver schedules a message from one host to another, subject to partitions,
// drops, delay and duplication.
func (f *Fleet) deliver(from, to string, arrive func()) {
	if f.isPartitioned(from, to) || f.chance(f.DropPercent) {
		return
	}
	f.clock.After(f.delay(from, to), arrive)
	if f.chance(f.DuplicatePercent) {
		f.clock.After(f.delay(from, to)+f.MaxJitter, arrive)
	}
}

func (f *Fleet) delay(from, to string) time.Duration {
	a, b := f.locations[from], f.locations[to]
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

// Partition drops every message between two regions, zones or hosts until Heal.
func (f *Fleet) Partition(a, b string) {
	f.partitions[[2]string{a, b}], f.partitions[[2]string{b, a}] = true, true
}

// Heal removes every partition.
func (f *Fleet) Heal() { clear(f.partitions) }

func (f *Fleet) isPartitioned(from, to string) bool {
	if len(f.partitions) == 0 {
		return false
	}
	a, b := f.locations[from], f.locations[to]
	for _, x := range []string{from, a.zone, a.region} {
		for _, y := range []string{to, b.zone, b.region} {
			if f.partitions[[2]string{x, y}] {
				return true
			}
		}
	}
	return false
}

// Configure changes the configuration and sends it to every VM.
func (f *Fleet) Configure(change func(*config.Configuration)) {
	next := f.options.Configuration
	next.Servers = slices.Clone(next.Servers)
	next.Lost = slices.Clone(next.Lost)
	change(&next)
	f.options.Configuration = next
	f.revision++
	for _, vm := range f.VMs {
		f.deliver(StoreName, vm.Name, func() { vm.step(f.configurationAccepted()) })
	}
}

func (f *Fleet) configurationAccepted() control.ConfigurationAccepted {
	configuration := f.options.Configuration
	return control.ConfigurationAccepted{Revision: f.revision, Configuration: &configuration}
}

// members returns the fleet's membership. A dead VM stays alive in it until
// DetectionDelay has passed.
func (f *Fleet) members() []control.Member {
	list := make([]control.Member, 0, len(f.VMs))
	for _, vm := range f.VMs {
		list = append(list, vm.Member)
	}
	return list
}

func (f *Fleet) broadcastMembers() {
	for _, vm := range f.VMs {
		vm.step(control.MembersChanged{Members: f.members()})
	}
	f.electPlanners()
}

// electPlanners assigns the planner role of each service to the first VM that
// is alive and not leaving.
func (f *Fleet) electPlanners() {
	for _, declared := range f.options.Configuration.Services {
		i := slices.IndexFunc(f.VMs, func(vm *VM) bool { return vm.Alive && !vm.Leaving })
		if i < 0 || f.plannerVMs[declared.Name] == f.VMs[i].Name {
			continue
		}
		f.plannerVMs[declared.Name] = f.VMs[i].Name
		for j, vm := range f.VMs {
			vm.step(control.RoleChanged{Role: control.PlannerRole(declared.Name), Held: i == j})
		}
	}
}

// propagatePage sends a changed page to every VM after PropagationDelay.
func (f *Fleet) propagatePage(service string) {
	for _, vm := range f.VMs {
		f.clock.After(f.options.PropagationDelay+f.delay(StoreName, vm.Name), func() {
			if f.isPartitioned(StoreName, vm.Name) || f.Store.Down {
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

// Grantor returns the VM that holds a server's term in the stored page.
func (f *Fleet) Grantor(service, server string) string {
	page, _ := f.Store.Page(service)
	return page.Server(server).Grantor
}

// Violations returns the violations of invariants found so far.
func (f *Fleet) Violations() []string { return f.checker.violations }

// Unserved returns the units that no server served at the last check.
func (f *Fleet) Unserved(service string) []ownership.UnitID { return f.checker.unserved(service) }

// Outages returns the longest time for which each unit was unserved since the
// last ResetOutages.
func (f *Fleet) Outages(service string) map[ownership.UnitID]time.Duration {
	return f.checker.outages[service]
}

// ResetOutages starts a new measurement of outages.
func (f *Fleet) ResetOutages() { f.checker.resetOutages() }

// EventLog returns the events of every VM, one per line, to describe a failed
// run.
func (f *Fleet) EventLog() string {
	var text strings.Builder
	for _, vm := range f.VMs {
		for _, e := range vm.Events {
			fmt.Fprintf(&text, "%s %d %s %v\n", vm.Name, e.Number, e.Cause, e.Fields)
		}
	}
	return text.String()
}

// AddPlanner gives a VM the planner role of a service without taking it from
// the current planner.
func (f *Fleet) AddPlanner(service, vm string) {
	f.VM(vm).step(control.RoleChanged{Role: control.PlannerRole(service), Held: true})
}

// Suspect makes the membership protocol report a live VM as lost, or as alive
// again.
func (f *Fleet) Suspect(name string, suspected bool) {
	if vm := f.VM(name); !vm.dead {
		vm.Alive = !suspected
		f.broadcastMembers()
	}
}

// ReportLoad passes a VM's Machine a count of requests for a frequent key.
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
