package controltest

import (
	"fmt"
	"slices"
	"time"

	"guavacrank.example/control/ownership"
)

// Names of the checked invariants.
const (
	// OneOwner: at any time at most one server may serve a unit or a key.
	OneOwner = "one-owner"
	// OnlyAcknowledged: a server serves a unit only at an epoch for which the
	// store confirmed the server as owner.
	OnlyAcknowledged = "only-acknowledged"
	// Monotonic: epochs and terms never decrease, and a confirmed owner is
	// replaced only with a higher epoch.
	Monotonic = "monotonic"
)

// checker checks the invariants on the simulated servers and store, not on what
// the machines report.
type checker struct {
	fleet      *Fleet
	violations []string
	// confirmedOwners holds the owner of each unit and epoch that the store
	// confirmed.
	confirmedOwners map[unitEpoch]string
	// isolations holds, for each override, the key's shard and the shard's first
	// epoch without the key.
	isolations map[serviceUnit]isolation
	// lastSent is when a home VM could last send a request for the unit to a
	// server that does not check grants.
	lastSent      map[sendKey]time.Duration
	outages       map[string]map[ownership.UnitID]time.Duration
	unservedSince map[serviceUnit]time.Duration
	lastCheck     time.Duration
}

type serviceUnit struct {
	service string
	unit    ownership.UnitID
}

type unitEpoch struct {
	serviceUnit
	epoch ownership.Epoch
}

type sendKey struct {
	serviceUnit
	server string
}

type isolation struct {
	shard ownership.UnitID
	epoch ownership.Epoch
}

func newChecker(f *Fleet) *checker {
	c := &checker{
		fleet: f, confirmedOwners: make(map[unitEpoch]string), isolations: make(map[serviceUnit]isolation),
		lastSent: make(map[sendKey]time.Duration),
	}
	c.resetOutages()
	return c
}

func (c *checker) resetOutages() {
	c.outages = make(map[string]map[ownership.UnitID]time.Duration)
	c.unservedSince = make(map[serviceUnit]time.Duration)
}

func (c *checker) addViolation(invariant, format string, args ...any) {
	const maxViolations = 20
	if len(c.violations) < maxViolations {
		text := fmt.Sprintf("%s at %v: ", invariant, c.fleet.clock.now) + fmt.Sprintf(format, args...)
		c.violations = append(c.violations, text)
	}
}

// pageWritten checks a page that the store is about to confirm.
func (c *checker) pageWritten(before *ownership.Page, version uint64, after *ownership.Page) {
	if err := after.Check(); err != nil {
		c.addViolation(Monotonic, "%v", err)
	}
	if version != 0 {
		if err := before.CheckSuccessor(after); err != nil {
			c.addViolation(Monotonic, "%v", err)
		}
	}
	for _, unit := range after.Units {
		c.confirmedOwners[unitEpoch{serviceUnit{after.Service, unit.ID}, unit.Epoch}] = unit.Owner
	}
	for _, override := range after.Overrides {
		key := serviceUnit{after.Service, override.Unit}
		if _, known := c.isolations[key]; !known {
			shard := ownership.ShardOf(override.Key, after.Shards)
			c.isolations[key] = isolation{shard, after.Unit(shard).Epoch}
		}
	}
}

// check checks the invariants at the present time and measures outages.
func (c *checker) check() {
	for _, service := range c.fleet.options.Configuration.Services {
		if service.DividedByKey {
			c.checkService(service.Name)
		}
	}
	c.lastCheck = c.fleet.clock.now
}

func (c *checker) checkService(name string) {
	page, version := c.fleet.Store.Page(name)
	if version == 0 {
		return
	}
	serving := make(map[ownership.UnitID]string, len(page.Units))
	served := make([]bool, len(page.Units))
	for _, server := range c.fleet.Servers {
		if server.Config.Service == name {
			c.checkServer(server, &page, serving, served)
		}
	}
	for i, unit := range page.Units {
		c.measureOutage(name, unit.ID, served[i])
	}
}

// checkServer adds to serving the units that a server may serve, and sets in
// served those that it does serve as their confirmed owner.
func (c *checker) checkServer(server *Server, page *ownership.Page, serving map[ownership.UnitID]string, served []bool) {
	name := server.Config.Name
	servable := server.servable()
	homes := c.homes(server)
	activeEpochs := server.activeEpochs()
	responsive := !server.Lost && !server.frozen
	for i, unit := range page.Units {
		key := serviceUnit{page.Service, unit.ID}
		epoch, mayServe := servable[unit.ID]
		if mayServe && c.confirmedOwners[unitEpoch{key, epoch}] != name {
			c.addViolation(OnlyAcknowledged, "%s serves unit %d at epoch %d", name, unit.ID, epoch)
		}
		if unit.Owner == name && responsive {
			served[i] = mayServe && epoch == unit.Epoch || anyHomeMaySend(server, unit.ID, homes)
		}
		// A server that still has the shard at an epoch before the isolation may
		// serve the key, too.
		if isolated, isOverride := c.isolations[key]; !mayServe && isOverride {
			shardEpoch, holdsShard := servable[isolated.shard]
			mayServe = holdsShard && shardEpoch < isolated.epoch
			mayServe = mayServe || activeEpochs[isolated.shard] != 0 && activeEpochs[isolated.shard] < isolated.epoch
		}
		mayServe = mayServe || activeEpochs[unit.ID] != 0
		if !mayServe && !c.mayRunHomeRequest(server, key, homes) {
			continue
		}
		if other := serving[unit.ID]; other != "" {
			c.addViolation(OneOwner, "%s and %s may both serve unit %d of %s", other, name, unit.ID, page.Service)
		}
		serving[unit.ID] = name
	}
}

// homes returns the VMs that may send requests to a server that does not check
// grants.
func (c *checker) homes(server *Server) []*VM {
	if server.Config.ChecksGrants {
		return nil
	}
	var homes []*VM
	for _, vm := range c.fleet.VMs {
		if vm.isHome(server) {
			homes = append(homes, vm)
		}
	}
	return homes
}

func anyHomeMaySend(server *Server, id ownership.UnitID, homes []*VM) bool {
	return slices.ContainsFunc(homes, func(vm *VM) bool { return vm.maySend(server, id) })
}

// mayRunHomeRequest reports whether a request may be running on a server that
// does not check grants, because a home may send one now or may have sent one
// within the last requestDuration.
func (c *checker) mayRunHomeRequest(server *Server, key serviceUnit, homes []*VM) bool {
	if server.Config.ChecksGrants || server.Lost {
		return false
	}
	now := c.fleet.clock.now
	send := sendKey{key, server.Config.Name}
	if anyHomeMaySend(server, key.unit, homes) {
		c.lastSent[send] = now
	}
	at, sent := c.lastSent[send]
	return sent && now-at < requestDuration
}

func (c *checker) measureOutage(name string, id ownership.UnitID, served bool) {
	key := serviceUnit{name, id}
	if served {
		delete(c.unservedSince, key)
		return
	}
	if _, unserved := c.unservedSince[key]; !unserved {
		c.unservedSince[key] = c.lastCheck
	}
	if c.outages[name] == nil {
		c.outages[name] = make(map[ownership.UnitID]time.Duration)
	}
	c.outages[name][id] = max(c.outages[name][id], c.fleet.clock.now-c.unservedSince[key])
}

// unserved returns the units that were not served at the last check.
func (c *checker) unserved(name string) []ownership.UnitID {
	page, _ := c.fleet.Store.Page(name)
	var found []ownership.UnitID
	for _, unit := range page.Units {
		if _, unserved := c.unservedSince[serviceUnit{name, unit.ID}]; unserved {
			found = append(found, unit.ID)
		}
	}
	return found
}
