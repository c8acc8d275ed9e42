package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// New returns the first page of a service, in which owners[i] owns shard i. The
// servers need not be sorted.
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

// UnitOf returns the unit that a key belongs to: the unit of its override, or
// else its shard.
func (p *Page) UnitOf(key string) *Unit {
	if override := p.Override(key); override != nil {
		return p.Unit(override.Unit)
	}
	return p.Unit(ShardOf(key, p.Shards))
}

// TakeTerm makes grantor the holder of a new term of a server and adds the
// previous holder to FormerGrantors. The new term is also higher than
// knownTerm, a term that the server may know although the page does not record
// it.
func (p *Page) TakeTerm(name, grantor string, knownTerm Term) error {
	server := p.Server(name)
	if server == nil {
		return pageError(p, "servers", "%q is unknown", name)
	}
	if server.Grantor != "" && !slices.Contains(server.FormerGrantors, server.Grantor) {
		server.FormerGrantors = append(server.FormerGrantors, server.Grantor)
		slices.Sort(server.FormerGrantors)
	}
	server.Term = max(server.Term, knownTerm) + 1
	server.Grantor = grantor
	return nil
}

// Move starts the move of a unit to a new owner, which may be granted the unit
// only after the current owner has stopped. A unit whose previous owner has not
// stopped yet can't be moved.
func (p *Page) Move(id UnitID, owner string) error {
	unit, err := p.unitFor(id, owner)
	switch {
	case err != nil:
		return err
	case unit.Previous != "":
		return pageError(p, "units", "%d still waits for %q to stop", id, unit.Previous)
	case unit.Owner == owner:
		return nil
	}
	unit.Previous = unit.Owner
	unit.Owner = owner
	unit.Epoch++
	return nil
}

// Reassign gives a unit of a server that is proven to have stopped to another
// owner. A previous owner that has not stopped yet must still stop first,
// unless it is the new owner.
func (p *Page) Reassign(id UnitID, owner string) error {
	unit, err := p.unitFor(id, owner)
	if err != nil {
		return err
	}
	unit.Owner = owner
	unit.Epoch++
	if unit.Previous == owner {
		unit.Previous = ""
	}
	return nil
}

// unitFor returns a unit that is to get an owner, which must be on the page.
func (p *Page) unitFor(id UnitID, owner string) (*Unit, error) {
	unit := p.Unit(id)
	if unit == nil {
		return nil, pageError(p, "units", "%d is unknown", id)
	}
	if p.Server(owner) == nil {
		return nil, pageError(p, "servers", "%q is unknown", owner)
	}
	return unit, nil
}

// AddServer adds a backend server with its first grantor.
func (p *Page) AddServer(name, grantor string) error {
	i, found := p.serverIndex(name)
	if found {
		return pageError(p, "servers", "%q exists", name)
	}
	p.Servers = slices.Insert(p.Servers, i, Server{Name: name, Term: p.LastTerm + 1, Grantor: grantor})
	return nil
}

// RemoveServer removes a backend server that is neither the owner nor the
// previous owner of any unit.
func (p *Page) RemoveServer(name string) error {
	i, found := p.serverIndex(name)
	if !found {
		return pageError(p, "servers", "%q is unknown", name)
	}
	for _, unit := range p.Units {
		if unit.Owner == name || unit.Previous == name {
			return pageError(p, "servers", "%q is still needed by unit %d", name, unit.ID)
		}
	}
	p.LastTerm = max(p.LastTerm, p.Servers[i].Term)
	p.Servers = slices.Delete(p.Servers, i, i+1)
	return nil
}

// Isolate moves a key from its shard into a new unit with the same owner. Both
// units get a higher epoch, so that requests routed by the old page are
// rejected. A key can't be isolated while its shard's previous owner has not
// stopped.
func (p *Page) Isolate(key string, declared bool) (UnitID, error) {
	i, found := p.overrideIndex(key)
	if found {
		return 0, pageError(p, "overrides", "%q exists", key)
	}
	shard := p.Unit(ShardOf(key, p.Shards))
	if shard.Previous != "" {
		return 0, pageError(p, "units", "%d still waits for %q to stop", shard.ID, shard.Previous)
	}
	shard.Epoch++
	unit := Unit{ID: p.NextUnit, Owner: shard.Owner, Epoch: shard.Epoch}
	p.NextUnit++
	p.Units = append(p.Units, unit)
	p.Overrides = slices.Insert(p.Overrides, i, Override{Key: key, Unit: unit.ID, Declared: declared})
	return unit.ID, nil
}

// Merge returns an isolated key to its shard and removes its unit. Both units
// must have the same owner, and neither a previous owner that has not stopped.
func (p *Page) Merge(key string) error {
	i, found := p.overrideIndex(key)
	if !found {
		return pageError(p, "overrides", "%q is unknown", key)
	}
	id := p.Overrides[i].Unit
	unit, shard := p.Unit(id), p.Unit(ShardOf(key, p.Shards))
	if unit.Owner != shard.Owner {
		return pageError(p, "overrides", "%q is owned by %q, its shard by %q", key, unit.Owner, shard.Owner)
	}
	if unit.Previous != "" || shard.Previous != "" {
		return pageError(p, "overrides", "%q waits for a previous owner to stop", key)
	}
	shard.Epoch = max(shard.Epoch, unit.Epoch) + 1
	p.Overrides = slices.Delete(p.Overrides, i, i+1)
	p.Units = slices.DeleteFunc(p.Units, func(u Unit) bool { return u.ID == id })
	return nil
}
