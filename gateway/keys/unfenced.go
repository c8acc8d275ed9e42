package keys

import (
	"slices"

	"guavacrank.example/gateway/model"
)

// UnfencedKeys are keys that a server has lost without being told. It may accept an earlier
// leader's grant of them.
type UnfencedKeys struct {
	model.Incarnation
	Address  string
	From, To uint16
}

// unfenced reports whether a server has lost keys without being told.
func (p *Page) unfenced(server endpoint) bool {
	return slices.ContainsFunc(p.Unfenced, func(u UnfencedKeys) bool { return u.endpoint() == server })
}

// recordUnfenced lists the prior holders of a range whose grants have only expired, except
// its owner, whose next grant has a higher fence.
func (b *pageBuilder) recordUnfenced(r Range) {
	for _, prior := range r.Prior {
		if prior == unknownHolder || prior.endpoint() == r.Owner.endpoint() {
			continue
		}
		if end, _ := b.priorEnded(r, prior); end == endedByExpiry {
			b.page.addUnfenced(UnfencedKeys{prior.Incarnation, prior.Address, r.From, r.To})
		}
	}
}

// addUnfenced lists keys that a server has lost. A server that owns no keys is listed once.
func (p *Page) addUnfenced(lost UnfencedKeys) {
	if !p.hasOwner(lost.endpoint()) {
		p.Unfenced = slices.DeleteFunc(p.Unfenced, func(u UnfencedKeys) bool { return u.endpoint() == lost.endpoint() })
		lost.From, lost.To = 0, model.Keys-1
	}
	if !slices.Contains(p.Unfenced, lost) {
		p.Unfenced = append(p.Unfenced, lost)
	}
}

// withoutOwned removes from the unfenced keys those that their servers own: a grant of them
// has a higher fence.
func (p *Page) withoutOwned() {
	for _, r := range p.Ranges {
		var kept []UnfencedKeys
		for _, u := range p.Unfenced {
			kept = append(kept, u.without(r)...)
		}
		p.Unfenced = kept
	}
}

// without returns the parts of the keys that lie outside a range, if the server owns it.
func (u UnfencedKeys) without(r Range) []UnfencedKeys {
	if u.endpoint() != r.Owner.endpoint() || u.To < r.From || r.To < u.From {
		return []UnfencedKeys{u}
	}
	var parts []UnfencedKeys
	if u.From < r.From {
		before := u
		before.To = r.From - 1
		parts = append(parts, before)
	}
	if r.To < u.To {
		after := u
		after.From = r.To + 1
		parts = append(parts, after)
	}
	return parts
}

// hasOwner reports whether a server owns keys, in any of its lives at the address.
func (p *Page) hasOwner(server endpoint) bool {
	return slices.ContainsFunc(p.Ranges, func(r Range) bool { return r.Owner.endpoint() == server })
}

// owners returns the servers that own keys.
func (p *Page) owners() map[endpoint]bool {
	owners := make(map[endpoint]bool)
	for _, r := range p.Ranges {
		owners[r.Owner.endpoint()] = true
	}
	return owners
}

// dropFenced drops the entries of servers that were told a higher fence or have ended.
func (b *pageBuilder) dropFenced() {
	count := len(b.page.Unfenced)
	b.page.Unfenced = slices.DeleteFunc(b.page.Unfenced, b.fenced)
	b.changed = b.changed || len(b.page.Unfenced) < count
}
