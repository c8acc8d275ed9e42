package ownership

import (
	"fmt"
	"slices"
	"strings"
)

// Check returns the first fault of the page as an *Error: an unknown owner, a
// missing shard, a zero epoch or term, a duplicate name or key, or a table that
// is not in ascending order.
func (p *Page) Check() error {
	if p.Service == "" {
		return pageError(p, "service", "is empty")
	}
	if p.Shards == 0 {
		return pageError(p, "shards", "is zero")
	}
	if err := p.checkServers(); err != nil {
		return err
	}
	if err := p.checkUnits(); err != nil {
		return err
	}
	return p.checkOverrides()
}

func (p *Page) checkServers() error {
	for i, server := range p.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		if server.Name == "" {
			return pageError(p, field, "has no name")
		}
		if i > 0 && p.Servers[i-1].Name >= server.Name {
			return pageError(p, field, "%q is repeated or not in ascending order", server.Name)
		}
		if server.Term == 0 {
			return pageError(p, field+".term", "is zero")
		}
	}
	return nil
}

func (p *Page) checkUnits() error {
	if len(p.Units) < int(p.Shards) {
		return pageError(p, "units", "has %d entries for %d shards", len(p.Units), p.Shards)
	}
	if uint32(p.NextUnit) < p.Shards {
		return pageError(p, "next_unit", "%d is the identifier of a shard", p.NextUnit)
	}
	for i, unit := range p.Units {
		field := fmt.Sprintf("units[%d]", i)
		if i < int(p.Shards) && unit.ID != UnitID(i) {
			return pageError(p, field+".id", "is %d, but shard %d stands here", unit.ID, i)
		}
		if i > 0 && p.Units[i-1].ID >= unit.ID {
			return pageError(p, field+".id", "%d is repeated or not in ascending order", unit.ID)
		}
		if unit.ID >= p.NextUnit {
			return pageError(p, field+".id", "%d is not below next_unit %d", unit.ID, p.NextUnit)
		}
		if unit.Epoch == 0 {
			return pageError(p, field+".epoch", "is zero")
		}
		if p.Server(unit.Owner) == nil {
			return pageError(p, field+".owner", "%q is not in servers", unit.Owner)
		}
		if unit.Previous == "" {
			continue
		}
		if unit.Previous == unit.Owner {
			return pageError(p, field+".previous", "%q is the owner", unit.Previous)
		}
		if p.Server(unit.Previous) == nil {
			return pageError(p, field+".previous", "%q is not in servers", unit.Previous)
		}
	}
	return nil
}

func (p *Page) checkOverrides() error {
	if len(p.Overrides) != len(p.Units)-int(p.Shards) {
		return pageError(p, "overrides", "has %d entries for %d units", len(p.Overrides), len(p.Units)-int(p.Shards))
	}
	used := make(map[UnitID]bool, len(p.Overrides))
	for i, override := range p.Overrides {
		field := fmt.Sprintf("overrides[%d]", i)
		if i > 0 && p.Overrides[i-1].Key >= override.Key {
			return pageError(p, field+".key", "%q is repeated or not in ascending order", override.Key)
		}
		if uint32(override.Unit) < p.Shards {
			return pageError(p, field+".unit", "%d is a shard", override.Unit)
		}
		if p.Unit(override.Unit) == nil {
			return pageError(p, field+".unit", "%d is not in units", override.Unit)
		}
		if used[override.Unit] {
			return pageError(p, field+".unit", "%d is used twice", override.Unit)
		}
		used[override.Unit] = true
	}
	return nil
}

// CheckSuccessor returns an *Error if next must not replace the page: a changed
// service or shard count, an epoch or term that decreased, an owner that
// changed without a higher epoch, or an ID that was used before.
func (p *Page) CheckSuccessor(next *Page) error {
	if next.Service != p.Service {
		return pageError(p, "service", "changed to %q", next.Service)
	}
	if next.Shards != p.Shards {
		return pageError(p, "shards", "changed from %d to %d", p.Shards, next.Shards)
	}
	if next.NextUnit < p.NextUnit {
		return pageError(p, "next_unit", "fell from %d to %d", p.NextUnit, next.NextUnit)
	}
	if next.LastTerm < p.LastTerm {
		return pageError(p, "last_term", "fell from %d to %d", p.LastTerm, next.LastTerm)
	}
	if err := p.checkUnitSuccessors(next); err != nil {
		return err
	}
	return p.checkServerSuccessors(next)
}

func (p *Page) checkUnitSuccessors(next *Page) error {
	for i := range next.Units {
		unit := &next.Units[i]
		before := p.Unit(unit.ID)
		field := fmt.Sprintf("units[%d]", i)
		switch {
		case before == nil && unit.ID < p.NextUnit:
			return pageError(p, field+".id", "%d is used again", unit.ID)
		case before == nil:
		case unit.Epoch < before.Epoch:
			return pageError(p, field+".epoch", "fell from %d to %d", before.Epoch, unit.Epoch)
		case unit.Epoch == before.Epoch && unit.Owner != before.Owner:
			return pageError(p, field+".owner", "changed at epoch %d", unit.Epoch)
		}
	}
	return nil
}

func (p *Page) checkServerSuccessors(next *Page) error {
	for i := range p.Servers {
		before := &p.Servers[i]
		if next.Server(before.Name) == nil && next.LastTerm < before.Term {
			return pageError(p, "last_term", "%d is below term %d of removed server %q", next.LastTerm, before.Term, before.Name)
		}
	}
	for i := range next.Servers {
		server := &next.Servers[i]
		before := p.Server(server.Name)
		field := fmt.Sprintf("servers[%d]", i)
		switch {
		case before == nil && server.Term <= p.LastTerm:
			return pageError(p, field+".term", "%d was used by a removed server", server.Term)
		case before == nil:
		case server.Term < before.Term:
			return pageError(p, field+".term", "fell from %d to %d", before.Term, server.Term)
		case server.Term == before.Term && server.Grantor != before.Grantor:
			return pageError(p, field+".grantor", "changed at term %d", server.Term)
		}
	}
	return nil
}

// Unit returns the entry of a unit, or nil if the page has none. The result
// points into the page.
func (p *Page) Unit(id UnitID) *Unit {
	if uint32(id) < p.Shards && int(id) < len(p.Units) {
		return &p.Units[id]
	}
	i, found := slices.BinarySearchFunc(p.Units, id, func(unit Unit, id UnitID) int {
		return int(int64(unit.ID) - int64(id))
	})
	if !found {
		return nil
	}
	return &p.Units[i]
}

// Server returns the entry of a backend server, or nil if the page has none.
// The result points into the page.
func (p *Page) Server(name string) *Server {
	i, found := p.serverIndex(name)
	if !found {
		return nil
	}
	return &p.Servers[i]
}

func (p *Page) serverIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(p.Servers, name, func(server Server, name string) int {
		return strings.Compare(server.Name, name)
	})
}

// Override returns the override of a key, or nil if the page has none. The
// result points into the page.
func (p *Page) Override(key string) *Override {
	i, found := p.overrideIndex(key)
	if !found {
		return nil
	}
	return &p.Overrides[i]
}

func (p *Page) overrideIndex(key string) (int, bool) {
	return slices.BinarySearchFunc(p.Overrides, key, func(override Override, key string) int {
		return strings.Compare(override.Key, key)
	})
}
