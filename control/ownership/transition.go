package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// New returns the first page of a service. owners holds the owner of each
// shard; servers need not be sorted.
func New(service string, servers []Server, owners []string) (Page, error) {
	page := Page{
		Service:  service,
		Shards:   uint32(len(owners)),
		NextUnit: UnitID(len(owners)),
		Servers:  slices.Clone(servers),
		Units:    make([]Unit, len(owners)),
	}
	slices.SortFunc(page.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	for i, owner := range owners {
		page.Units[i] = Unit{ID: UnitID(i), Owner: owner, Epoch: 1}
	}
	return page, page.Check()
}

// Clone returns a deep copy.
func (p *Page) Clone() Page {
	clone := *p
	clone.Servers = slices.Clone(p.Servers)
	for i := range clone.Servers {
		clone.Servers[i].FormerGrantors = slices.Clone(p.Servers[i].FormerGrantors)
	}
	clone.Units = slices.Clone(p.Units)
	clone.Overrides = slices.Clone(p.Overrides)
	return clone
}

// ShardOf returns the shard that a key hashes to.
func ShardOf(key string, shards uint32) UnitID {
	if shards == 0 {
		return 0
	}
	return UnitID(xxhash.Sum64String(key) % uint64(shards))
}

// UnitOf returns the unit that owns a key: its override or its shard.
func (p *Page) UnitOf(key string) *Unit {
	if override := p.Override(key); override != nil {
		return p.Unit(override.Unit)
	}
	return p.Unit(ShardOf(key, p.Shards))
}

// TakeTerm makes grantor the holder of the next term of a server. The earlier
// holder is added to Former. The new term is above the given one too, which the
// server may know although the page does not.
func (p *Page) TakeTerm(name, grantor string, above Term) error {
	server := p.Server(name)
	if server == nil {
		return fault(p, "servers", "%q is unknown", name)
	}
	if server.Grantor != "" && !slices.Contains(server.FormerGrantors, server.Grantor) {
		server.FormerGrantors = append(server.FormerGrantors, server.Grantor)
		slices.Sort(server.FormerGrantors)
	}
	server.Term = max(server.Term, above) + 1
	server.Grantor = grantor
	return nil
}

// Move plans the move of a unit: the new owner may be granted it only after
// the present owner has stopped. A unit whose previous owner has yet to stop
// can't be moved.
func (p *Page) Move(id UnitID, owner string) error {
	unit := p.Unit(id)
	switch {
	case unit == nil:
		return fault(p, "units", "%d is unknown", id)
	case p.Server(owner) == nil:
		return fault(p, "servers", "%q is unknown", owner)
	case unit.Previous != "":
		return fault(p, "units", "%d still waits for %q to stop", id, unit.Previous)
	case unit.Owner == owner:
		return nil
	}
	unit.Previous = unit.Owner
	unit.Owner = owner
	unit.Epoch++
	return nil
}

// Reassign gives a unit of a server that has provably stopped to another
// owner. A server that had to stop before still must, unless it is the new owner.
func (p *Page) Reassign(id UnitID, owner string) error {
	unit := p.Unit(id)
	switch {
	case unit == nil:
		return fault(p, "units", "%d is unknown", id)
	case p.Server(owner) == nil:
		return fault(p, "servers", "%q is unknown", owner)
	}
	unit.Owner = owner
	unit.Epoch++
	if unit.Previous == owner {
		unit.Previous = ""
	}
	return nil
}

// AddServer adds a backend server with its first grantor.
func (p *Page) AddServer(name, grantor string) error {
	i, found := p.serverIndex(name)
	if found {
		return fault(p, "servers", "%q exists", name)
	}
	p.Servers = slices.Insert(p.Servers, i, Server{Name: name, Term: p.LastTerm + 1, Grantor: grantor})
	return nil
}

// RemoveServer removes a backend server that owns nothing and that no unit
// waits for.
func (p *Page) RemoveServer(name string) error {
	i, found := p.serverIndex(name)
	if !found {
		return fault(p, "servers", "%q is unknown", name)
	}
	for _, unit := range p.Units {
		if unit.Owner == name || unit.Previous == name {
			return fault(p, "servers", "%q is still needed by unit %d", name, unit.ID)
		}
	}
	p.LastTerm = max(p.LastTerm, p.Servers[i].Term)
	p.Servers = slices.Delete(p.Servers, i, i+1)
	return nil
}

// Isolate takes a key out of its shard into a unit of its own with the same
// owner. Both get a higher epoch, so that requests routed by the old page are
// refused. A shard whose previous owner has yet to stop can't be split.
func (p *Page) Isolate(key string, declared bool) (UnitID, error) {
	i, found := p.overrideIndex(key)
	if found {
		return 0, fault(p, "overrides", "%q exists", key)
	}
	shard := p.Unit(ShardOf(key, p.Shards))
	if shard.Previous != "" {
		return 0, fault(p, "units", "%d still waits for %q to stop", shard.ID, shard.Previous)
	}
	shard.Epoch++
	unit := Unit{ID: p.NextUnit, Owner: shard.Owner, Epoch: shard.Epoch}
	p.NextUnit++
	p.Units = append(p.Units, unit)
	p.Overrides = slices.Insert(p.Overrides, i, Override{Key: key, Unit: unit.ID, Declared: declared})
	return unit.ID, nil
}

// Merge returns a key to its shard. Both must have the same owner, and no
// previous owner that has yet to stop.
func (p *Page) Merge(key string) error {
	i, found := p.overrideIndex(key)
	if !found {
		return fault(p, "overrides", "%q is unknown", key)
	}
	id := p.Overrides[i].Unit
	unit, shard := p.Unit(id), p.Unit(ShardOf(key, p.Shards))
	if unit.Owner != shard.Owner {
		return fault(p, "overrides", "%q is owned by %q, its shard by %q", key, unit.Owner, shard.Owner)
	}
	if unit.Previous != "" || shard.Previous != "" {
		return fault(p, "overrides", "%q waits for a previous owner to stop", key)
	}
	shard.Epoch = max(shard.Epoch, unit.Epoch) + 1
	p.Overrides = slices.Delete(p.Overrides, i, i+1)
	p.Units = slices.DeleteFunc(p.Units, func(u Unit) bool { return u.ID == id })
	return nil
}
