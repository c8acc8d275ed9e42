package keys

import (
	"sort"

	"guavacrank.example/gateway/model"
)

const (
	// mergesPerRound bounds the ranges that move in one check to be merged.
	mergesPerRound = 12
	// crowdedShare is the part of the greatest number of ranges from which ranges move to be
	// merged.
	crowdedShare = 0.7
	// maxMergedShare is the part of its new owner's target rate that a range may carry.
	maxMergedShare = 0.1
)

// mergeable is a small range that may move to the owner of a neighbouring one.
type mergeable struct {
	at, neighbor int // Indexes of the ranges.
}

// gather moves small ranges that carry little load to the owner of a neighbouring range, with
// which they are merged afterwards, while the page has many ranges. It answers what hot ranges
// leave behind. The smallest ones move first: a move costs its share of all keys.
func (b *pageBuilder) gather(mean float64) {
	ranges := b.page.Ranges
	if float64(len(ranges)) < crowdedShare*float64(b.maxRanges()) {
		return
	}
	owned := make(map[model.Incarnation]int)
	for _, r := range ranges {
		owned[r.Owner.Incarnation]++
	}
	candidates := b.mergeables(mean)
	sort.SliceStable(candidates, func(i, j int) bool { return ranges[candidates[i].at].Size() < ranges[candidates[j].at].Size() })
	touched, moved := make(map[int]bool), 0
	for _, c := range candidates {
		owner := ranges[c.at].Owner.Incarnation
		if moved == mergesPerRound {
			return
		}
		if touched[c.at] || touched[c.neighbor] || owned[owner] < 2 {
			continue
		}
		target := b.loads.servers[ranges[c.neighbor].Owner.Incarnation]
		ranges[c.at] = b.move(ranges[c.at], ranges[c.at], target)
		touched[c.at], touched[c.neighbor] = true, true
		owned[owner]--
		moved++
	}
}

// mergeables returns the ranges that a neighbour's owner has room for.
func (b *pageBuilder) mergeables(mean float64) []mergeable {
	var found []mergeable
	for at, r := range b.page.Ranges {
		if len(r.Prior) > 0 || !b.releasable(r) || b.isolated(r) {
			continue
		}
		for _, neighbor := range []int{at - 1, at + 1} {
			if neighbor < 0 || neighbor >= len(b.page.Ranges) {
				continue
			}
			if next := b.page.Ranges[neighbor]; len(next.Prior) == 0 && next.Size() >= r.Size() && b.fitsOwner(r, next, mean) {
				found = append(found, mergeable{at, neighbor})
			}
		}
	}
	return found
}

// fitsOwner reports whether the owner of the next range has room for a range of another owner.
func (b *pageBuilder) fitsOwner(r, next Range, mean float64) bool {
	target := b.loads.servers[next.Owner.Incarnation]
	if target == nil || r.Owner.Incarnation == next.Owner.Incarnation || !b.loads.has(target) {
		return false
	}
	rate := b.loads.rangeRate(r)
	return rate <= maxMergedShare*target.target && rate <= b.loads.room(target, mean)
}
