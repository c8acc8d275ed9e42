package controltest

import (
	"fmt"
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
	serving := make(map[ownership.UnitID]string)
	for _, server := range c.fleet.Servers {
		if server.Config.Service != name {
			continue
		}
		for _, unit := range page.Units {
			c.checkUnit(server, name, unit, serving)
		}
	}
	for _, unit := range page.Units {
		c.measure(name, unit)
	}
}

func (c *checker) checkUnit(server *Server, name string, unit ownership.Unit, serving map[ownership.UnitID]string) {
	key := serviceUnit{name, unit.ID}
	epoch, serves := server.serves(unit.ID)
	if serves && c.owners[unitEpoch{key, epoch}] != server.Config.Name {
		c.violate(OnlyAcknowledged, "%s serves unit %d at epoch %d", server.Config.Name, unit.ID, epoch)
	}
	if !serves {
		serves = c.homeSends(server, key)
	}
	if from, isOverride := c.splits[key]; !serves && isOverride {
		shardEpoch, holdsShard := server.serves(from.shard)
		serves = holdsShard && shardEpoch < from.epoch
	}
	if !serves {
		return
	}
	if other := serving[unit.ID]; other != "" {
		c.violate(OneOwner, "%s and %s may both serve unit %d of %s", other, server.Config.Name, unit.ID, name)
	}
	serving[unit.ID] = server.Config.Name
}

// homeSends reports whether a request may run at a server that does not check
// grants: a home may send one, or one that it sent may still run.
func (c *checker) homeSends(server *Server, key serviceUnit) bool {
	if server.Config.ChecksGrants {
		return false
	}
	now := c.fleet.clock.now
	send := sendKey{key, server.Config.Name}
	for _, vm := range c.fleet.VMs {
		if vm.maySend(server, key.unit) {
			c.sentAt[send] = now
		}
	}
	at, sent := c.sentAt[send]
	return sent && now-at < runTime && !server.Lost
}

// served reports whether the confirmed owner of a unit serves it.
func (c *checker) served(name string, unit ownership.Unit) bool {
	server := c.fleet.Server(unit.Owner)
	if server.Lost || server.frozen {
		return false
	}
	if server.Config.ChecksGrants {
		epoch, serves := server.serves(unit.ID)
		return serves && epoch == unit.Epoch
	}
	for _, vm := range c.fleet.VMs {
		if vm.maySend(server, unit.ID) {
			return true
		}
	}
	return false
}

func (c *checker) measure(name string, unit ownership.Unit) {
	key := serviceUnit{name, unit.ID}
	if c.served(name, unit) {
		delete(c.since, key)
		return
	}
	if _, open := c.since[key]; !open {
		c.since[key] = c.checked
	}
	if c.outages[name] == nil {
		c.outages[name] = make(map[ownership.UnitID]time.Duration)
	}
	c.outages[name][unit.ID] = max(c.outages[name][unit.ID], c.fleet.clock.now-c.since[key])
}

func (c *checker) unserved(name string) []ownership.UnitID {
	page, _ := c.fleet.Store.Page(name)
	var found []ownership.UnitID
	for _, unit := range page.Units {
		if !c.served(name, unit) {
			found = append(found, unit.ID)
		}
	}
	return found
}
