package controltest

import (
	"fmt"
	"slices"
	"time"

	"guavacrank.example/control/ownership"
)

// Names of the invariants.
const (
	// OneOwner: at most one server may serve a unit, or a key, at any moment.
	OneOwner = "one-owner"
	// OnlyAcknowledged: a server serves a unit only at an epoch for which the
	// store confirmed it as the owner.
	OnlyAcknowledged = "only-acknowledged"
	// Monotonic: epochs and terms never fall, and no confirmed owner is
	// replaced without a higher epoch.
	Monotonic = "monotonic"
)

// checker watches the fleet's own state, not what the machines say of it.
type checker struct {
	fleet      *Fleet
	violations []string
	// owners holds each owner that the store confirmed.
	owners map[unitEpoch]string
	// splits holds, for each override, its shard and the shard's first epoch
	// without the key.
	splits map[serviceUnit]split
	// sentAt is when a home last could send to a server that does not check grants.
	sentAt  map[sendKey]time.Duration
	outages map[string]map[ownership.UnitID]time.Duration
	since   map[serviceUnit]time.Duration
	checked time.Duration
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

type split struct {
	shard ownership.UnitID
	epoch ownership.Epoch
}

func newChecker(f *Fleet) *checker {
	c := &checker{
		fleet: f, owners: make(map[unitEpoch]string), splits: make(map[serviceUnit]split),
		sentAt: make(map[sendKey]time.Duration),
	}
	c.resetOutages()
	return c
}

func (c *checker) resetOutages() {
	c.outages = make(map[string]map[ownership.UnitID]time.Duration)
	c.since = make(map[serviceUnit]time.Duration)
}

func (c *checker) violate(invariant, format string, args ...any) {
	const enough = 20
	if len(c.violations) < enough {
		text := fmt.Sprintf("%s at %v: ", invariant, c.fleet.clock.now) + fmt.Sprintf(format, args...)
		c.violations = append(c.violations, text)
	}
}

// pageWritten checks a page that the store is about to confirm.
func (c *checker) pageWritten(before *ownership.Page, version uint64, after *ownership.Page) {
	if err := after.Check(); err != nil {
		c.violate(Monotonic, "%v", err)
	}
	if version != 0 {
		if err := before.CheckSuccessor(after); err != nil {
			c.violate(Monotonic, "%v", err)
		}
	}
	for _, unit := range after.Units {
		c.owners[unitEpoch{serviceUnit{after.Service, unit.ID}, unit.Epoch}] = unit.Owner
	}
	for _, override := range after.Overrides {
		key := serviceUnit{after.Service, override.Unit}
		if _, known := c.splits[key]; !known {
			shard := ownership.ShardOf(override.Key, after.Shards)
			c.splits[key] = split{shard, after.Unit(shard).Epoch}
		}
	}
}

// check compares what the servers may serve now, and measures outages.
func (c *checker) check() {
	for _, service := range c.fleet.options.Configuration.Services {
		if service.DividedByKey {
			c.checkService(service.Name)
		}
	}
	c.checked = c.fleet.clock.now
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
		c.measure(name, unit.ID, served[i])
	}
}

// checkServer notes which units a server may serve, and which of them it does
// serve as their confirmed owner.
func (c *checker) checkServer(server *Server, page *ownership.Page, serving map[ownership.UnitID]string, served []bool) {
	name := server.Config.Name
	held := server.held()
	homes := c.homes(server)
	runs := server.running()
	works := !server.Lost && !server.frozen
	for i, unit := range page.Units {
		key := serviceUnit{page.Service, unit.ID}
		epoch, may := held[unit.ID]
		if may && c.owners[unitEpoch{key, epoch}] != name {
			c.violate(OnlyAcknowledged, "%s serves unit %d at epoch %d", name, unit.ID, epoch)
		}
		if unit.Owner == name && works {
			served[i] = may && epoch == unit.Epoch || sendsNow(server, unit.ID, homes)
		}
		if from, isOverride := c.splits[key]; !may && isOverride {
			shardEpoch, holdsShard := held[from.shard]
			may = holdsShard && shardEpoch < from.epoch
			may = may || runs[from.shard] != 0 && runs[from.shard] < from.epoch
		}
		may = may || runs[unit.ID] != 0
		if !may && !c.homeSends(server, key, homes) {
			continue
		}
		if other := serving[unit.ID]; other != "" {
			c.violate(OneOwner, "%s and %s may both serve unit %d of %s", other, name, unit.ID, page.Service)
		}
		serving[unit.ID] = name
	}
}

// homes returns the VMs that may send to a server that does not check grants.
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

func sendsNow(server *Server, id ownership.UnitID, homes []*VM) bool {
	return slices.ContainsFunc(homes, func(vm *VM) bool { return vm.maySend(server, id) })
}

// homeSends reports whether a request may run at a server that does not check
// grants: a home may send one, or one that it sent may still run.
func (c *checker) homeSends(server *Server, key serviceUnit, homes []*VM) bool {
	if server.Config.ChecksGrants || server.Lost {
		return false
	}
	now := c.fleet.clock.now
	send := sendKey{key, server.Config.Name}
	if sendsNow(server, key.unit, homes) {
		c.sentAt[send] = now
	}
	at, sent := c.sentAt[send]
	return sent && now-at < runTime
}

func (c *checker) measure(name string, id ownership.UnitID, served bool) {
	key := serviceUnit{name, id}
	if served {
		delete(c.since, key)
		return
	}
	if _, open := c.since[key]; !open {
		c.since[key] = c.checked
	}
	if c.outages[name] == nil {
		c.outages[name] = make(map[ownership.UnitID]time.Duration)
	}
	c.outages[name][id] = max(c.outages[name][id], c.fleet.clock.now-c.since[key])
}

// unserved returns the units that were not served at the last check.
func (c *checker) unserved(name string) []ownership.UnitID {
	page, _ := c.fleet.Store.Page(name)
	var found []ownership.UnitID
	for _, unit := range page.Units {
		if _, open := c.since[serviceUnit{name, unit.ID}]; open {
			found = append(found, unit.ID)
		}
	}
	return found
}
