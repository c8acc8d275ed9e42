package keys

import (
	"slices"

	"guavacrank.example/gateway/model"
)

const (
	// promoteUtilization is the part of a server's slots that a single key must
	// take to move to another server, promoteCapacityRatio the ratio of the
	// capacities from which it does.
	promoteUtilization   = 0.6
	promoteCapacityRatio = 1.3
	// promoteAloneRatio is the same ratio for a key whose server has no other keys of its range.
	// It has moved before, and the service time of an overloaded server is known less well.
	promoteAloneRatio = 2
)

// promote moves a key that overloads its server to the fastest server without such a key, whose
// other keys then move away.
func (b *pageBuilder) promote(at int, from *serverRow) bool {
	r := b.page.Ranges[at]
	hot := b.loads.hottestKey(r)
	if !b.overloads(hot, from) {
		return false
	}
	ratio := promoteCapacityRatio
	if r.Size() == 1 {
		ratio = promoteAloneRatio
	}
	to := b.fastestWithoutHotKey()
	if to == nil || to == from || to.capacity < ratio*from.capacity {
		return false
	}
	part := r
	part.From, part.To = hot.key, hot.key
	if !b.dividable(r, part) {
		return false
	}
	b.movePart(at, part, to)
	return true
}

// overloads reports whether a single key is too much for a server beside others.
func (b *pageBuilder) overloads(key keyRate, row *serverRow) bool {
	return row != nil && key.rate >= promoteUtilization*row.capacity
}

// isolate makes each key that overloads its server a range of its own, with the same owner. Its
// neighbours can then move, and all VMs know from the page that the key is hot.
func (b *pageBuilder) isolate() {
	for at := 0; at < len(b.page.Ranges) && len(b.page.Ranges)+2 <= b.maxRanges(); at++ {
		r := b.page.Ranges[at]
		hot := b.loads.hottestKey(r)
		if r.Size() == 1 || len(r.Prior) > 0 || !b.overloads(hot, b.loads.servers[r.Owner.Incarnation]) {
			continue
		}
		parts := splitAround(r, hot.key)
		b.page.Ranges = slices.Replace(b.page.Ranges, at, at+1, parts...)
		b.changed = true
		at += len(parts) - 1
	}
}

// splitAround divides a range into a key and what lies before and after it.
func splitAround(r Range, key uint16) []Range {
	var parts []Range
	if before := r; r.From < key {
		before.To = key - 1
		parts = append(parts, before)
	}
	single := r
	single.From, single.To = key, key
	parts = append(parts, single)
	if after := r; key < r.To {
		after.From = key + 1
		parts = append(parts, after)
	}
	return parts
}

// isolated reports whether a range is a single key that overloads its owner.
func (b *pageBuilder) isolated(r Range) bool {
	return r.Size() == 1 && b.overloads(b.loads.hottestKey(r), b.loads.servers[r.Owner.Incarnation])
}

// fastestWithoutHotKey returns the server with the greatest capacity of those that no single key
// overloads, or nil.
func (b *pageBuilder) fastestWithoutHotKey() *serverRow {
	hot := make(map[model.Incarnation]bool)
	for _, r := range b.page.Ranges {
		if b.overloads(b.loads.hottestKey(r), b.loads.servers[r.Owner.Incarnation]) {
			hot[r.Owner.Incarnation] = true
		}
	}
	var best *serverRow
	for _, row := range b.loads.rows {
		if !hot[row.Incarnation()] && (best == nil || row.capacity > best.capacity) {
			best = row
		}
	}
	return best
}
